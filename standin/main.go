// Command standin runs stand-ins of the store, the platform, engines and order services, for manual
// tests of instances. It prints their addresses and runs until it receives SIGINT or SIGTERM.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

// commandLine holds the command-line arguments and flags.
type commandLine struct {
	File     string   `arg:"" optional:"" type:"existingfile" help:"YAML file that describes the stand-ins; example.yaml is one."`
	Engines  int      `help:"Engines when there is no file." default:"3"`
	Services int      `help:"Order services when there is no file." default:"1"`
	Instance []string `help:"Entry of the platform's list when there is no file: ID=IP:port=data centre." sep:"none"`
}

func main() {
	var c commandLine
	kong.Parse(&c, kong.Name("standin"), kong.Description("Runs stand-ins of the store, the platform, engines and order services."))
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).With().Timestamp().Logger()
	if err := c.run(log); err != nil {
		log.Fatal().Err(err).Msg("standin ends")
	}
}

// run starts the stand-ins and blocks until a signal ends the process.
func (c commandLine) run(log zerolog.Logger) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	site, err := start(cfg, log)
	if err != nil {
		return err
	}
	defer site.close()
	site.print(os.Stdout)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	return nil
}

// config returns the configuration of the file, or that of the flags when there is no file.
func (c commandLine) config() (config, error) {
	if c.File == "" {
		return configFromFlags(c)
	}
	b, err := os.ReadFile(c.File)
	if err != nil {
		return config{}, err
	}
	return parseConfig(b)
}
