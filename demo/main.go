// Command demo is a program of mustardseam.
package main

func main() {}
