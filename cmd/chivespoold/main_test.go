package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chivespool/chivespool/internal/emulator"
)

// runAsDaemon is the environment variable that makes the test binary run as the command.
const runAsDaemon = "CHIVESPOOLD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestSecondStop sends the process many SIGTERMs, as a platform may. A second
// SIGTERM must not kill the process while requests are in flight (seed 4 of the
// soak).
func TestSecondStop(t *testing.T) {
	signals := catchSignals(context.Background())
	for range 500 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		<-signals.stop.Done()
	}
}

// gatewaySettings is a settings file of a gateway whose store can't be reached; its
// verbs are six addresses and the bound of a planned stop.
const gatewaySettings = `[host]
name = front-a-1
region = nairobi
data-centre = nbo-a
address = %s
peer-address = %s

[platform]
store = http://%s
timeout = 200ms

[gateway]
ready-address = %s
directory-address = %s
metrics-address = %s
data-centres = nbo-a=nairobi
apply-bound = 2000ms
retry-slack = 56

[routing]
retry-share = 0.2

[leaving]
bound = %s

[peers]
plain = yes
`

// formatSettings returns gatewaySettings with free addresses and the bound.
func formatSettings(t *testing.T, bound time.Duration) string {
	t.Helper()
	addresses, err := emulator.FreeAddresses(6)
	if err != nil {
		t.Fatal(err)
	}
	var values []any
	for _, address := range addresses {
		values = append(values, address)
	}
	return fmt.Sprintf(gatewaySettings, append(values, bound)...)
}

// TestSignalsThroughStop sends a signal again and again from the start of a gateway
// until its process has ended, beside one SIGTERM. None of them may end the process
// before its planned stop is complete: once, SIGHUP did so while requests were in flight
// (review/3).
func TestSignalsThroughStop(t *testing.T) {
	for _, sent := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2} {
		for _, bound := range []time.Duration{time.Second, 3 * time.Second} {
			t.Run(fmt.Sprintf("%v/%v", sent, bound), func(t *testing.T) {
				t.Parallel()
				settings := filepath.Join(t.TempDir(), "gateway.ini")
				text := formatSettings(t, bound)
				if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				gateway := startGateway(t, settings)
				gateway.await(t, `"starts"`)
				ended := make(chan error, 1)
				go func() { ended <- gateway.wait() }()
				stop := time.After(300 * time.Millisecond)
				ticker := time.NewTicker(5 * time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case err := <-ended:
						if err != nil {
							t.Errorf("the gateway ended by %v, want exit status 0; log: %s", err, gateway.text())
						}
						if !strings.Contains(gateway.text(), `"stopped"`) {
							t.Errorf("the gateway ended before its stop was complete; log: %s", gateway.text())
						}
						return
					case <-stop:
						_ = gateway.command.Process.Signal(syscall.SIGTERM)
					case <-ticker.C:
						_ = gateway.command.Process.Signal(sent) // The process may have ended.
					}
				}
			})
		}
	}
}

// TestLogOutputCloses closes the reading end of a gateway's log. The gateway must go on
// and end by its planned stop.
func TestLogOutputCloses(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "gateway.ini")
	text := formatSettings(t, time.Second)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	gateway := startGateway(t, settings)
	gateway.await(t, `"starts"`)
	_ = gateway.output.Close()
	ended := make(chan error, 1)
	go func() { ended <- gateway.command.Wait() }()
	for range 20 { // Each SIGHUP causes log lines.
		_ = gateway.command.Process.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	_ = gateway.command.Process.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("the gateway ended by %v, want exit status 0", err)
	}
}

// gatewayProcess is a gateway that runs in a process of its own.
type gatewayProcess struct {
	command *exec.Cmd
	output  *os.File
	lines   *bufio.Scanner
	read    strings.Builder
}

// startGateway starts a gateway that the test kills at its end.
func startGateway(t *testing.T, settings string) *gatewayProcess {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(executable, "gateway", "--settings", settings)
	command.Env = append(os.Environ(), runAsDaemon+"=1")
	command.Stdout, command.Stderr = writer, writer
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	t.Cleanup(func() { _ = command.Process.Kill() })
	return &gatewayProcess{command: command, output: reader, lines: bufio.NewScanner(reader)}
}

// await reads the log up to a line that contains text.
func (gatewayProcess *gatewayProcess) await(t *testing.T, text string) {
	t.Helper()
	for gatewayProcess.lines.Scan() {
		fmt.Fprintln(&gatewayProcess.read, gatewayProcess.lines.Text())
		if strings.Contains(gatewayProcess.lines.Text(), text) {
			return
		}
	}
	t.Fatalf("the log ended without %s: %s", text, gatewayProcess.text())
}

// wait reads the rest of the log and returns how the process ended.
func (gatewayProcess *gatewayProcess) wait() error {
	for gatewayProcess.lines.Scan() {
		fmt.Fprintln(&gatewayProcess.read, gatewayProcess.lines.Text())
	}
	return gatewayProcess.command.Wait()
}

// text returns the log that was read.
func (gatewayProcess *gatewayProcess) text() string { return gatewayProcess.read.String() }
