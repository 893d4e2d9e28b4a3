package sender

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// stripHopByHop removes the hop-by-hop headers, including those that the
// Connection header names.
func stripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// parseLoad parses a load report in the text form of the ORCA load report
// header, such as "TEXT in_flight=2, slots=4". Missing and invalid values are 0.
func parseLoad(report string) (inFlight, slots int) {
	text, ok := strings.CutPrefix(report, "TEXT ")
	if !ok {
		return 0, 0
	}
	for field := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= 0 && number <= maxLoadValue) {
			continue
		}
		switch key {
		case "in_flight":
			inFlight = int(number)
		case "slots":
			slots = int(number)
		}
	}
	return inFlight, slots
}

// maxLoadValue is the largest accepted value in a load report.
const maxLoadValue = 1 << 20
