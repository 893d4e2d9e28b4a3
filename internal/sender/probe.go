package sender

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Probe sends a health check to endpoint over a pooled connection, or a new one
// that it adds to the pool, and returns the endpoint's load report.
func (sender *Sender) Probe(ctx context.Context, endpoint definer.Endpoint) (definer.Report, error) {
	connection := sender.take(endpoint, time.Now(), anyConnection)
	if connection != nil {
		if report, err := sender.probe(ctx, connection, endpoint); err == nil || ctx.Err() != nil {
			return report, err
		}
		sender.recordCheck()
	}
	connection, err := sender.dial(ctx, endpoint)
	if err != nil {
		return definer.Report{}, err
	}
	return sender.probe(ctx, connection, endpoint)
}

// probe sends a health check on connection, then returns the connection to the
// pool or closes it.
func (sender *Sender) probe(ctx context.Context, connection *connection, endpoint definer.Endpoint) (definer.Report, error) {
	report, err := sender.check(ctx, connection, endpoint)
	if err != nil {
		_ = connection.Close()
		return definer.Report{}, err
	}
	sender.put(connection)
	return report, nil
}

func (sender *Sender) check(ctx context.Context, connection *connection, endpoint definer.Endpoint) (definer.Report, error) {
	stop := context.AfterFunc(ctx, connection.interrupt)
	defer stop()
	head := connection.head(http.MethodGet, endpoint.HealthPath(), endpoint.Address(), nil, 0)
	start := time.Now()
	if _, err := connection.Write(head.Bytes()); err != nil {
		return definer.Report{}, err
	}
	response, err := connection.readHead(http.MethodGet, sender.headBytes)
	if err != nil {
		return definer.Report{}, err
	}
	answered := time.Now()
	report, ok := sender.dialect.Health(response, endpoint)
	if !ok {
		return definer.Report{}, errors.New("received another response instead of the health check's")
	}
	sender.surveyor.RecordRoundTrip(time.Now(), endpoint.Place(), answered.Sub(start))
	sender.observer.Record(time.Now(), endpoint, report)
	count, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	if err != io.EOF || count >= maxDiscardBytes || !delimited(response) || !stop() {
		return definer.Report{}, errors.New("the response to the health check was truncated or too long")
	}
	connection.updateExpiry(response.Header.Get("Keep-Alive"))
	if response.Close {
		connection.expires = time.Time{}.Add(1)
	}
	return report, nil
}
