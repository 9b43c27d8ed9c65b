// Command measure is a program of mustardseam.
package main

func main() {}
