package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// readHeaderTimeout limits the time to read a request header.
const readHeaderTimeout = 5 * time.Second

// platformCmd serves the emulated platform.
type platformCmd struct {
	Listen string `arg:"--listen,required" help:"address, as ip:port"`
	Writes int    `arg:"--writes" default:"400" help:"writes per second"`
	Reads  int    `arg:"--reads" default:"2000" help:"reads per second"`
}

func (c *platformCmd) run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "run platform")
	}
	server := &http.Server{
		Handler:           baobabemulator.NewPlatform(baobabemulator.WithPlatformRates(c.Writes, c.Reads)),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "run platform")
	}
	return nil
}
