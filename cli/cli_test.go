package cli_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/cli"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/telemetry"
)

const logLines = `time=2026-05-31T06:24:03.000Z level=WARN msg="request refused" box=front-1 request=r1 service=s kind=no_target err="none" after=1ms
time=2026-05-31T06:24:04.000Z level=INFO msg="request answered" box=front-1 request=r2 target=i-2 events=4 pause=70ms first=90ms after=1.2s
`

const overloadLines = `time=2026-05-31T06:24:03.000Z level=WARN msg="request refused" box=front-1 request=r1 service=s class=1/3 kind=overloaded err="overloaded: clovertrail: group g0 has a load of 1; callers of class 1/3 are refused from 0.9 on" after=1ms
time=2026-05-31T06:24:03.000Z level=INFO msg="request queued" box=front-1 request=r2 service=s class=0/3 place=1 leaves_in=2s
time=2026-05-31T06:24:03.400Z level=INFO msg="queued request released" box=front-1 request=r2 service=s waited=400ms leaves_in=1.6s
time=2026-05-31T06:24:04.000Z level=INFO msg="map proposed" box=side-1 group=g0 skew=2.5 expected=1.25
time=2026-05-31T06:24:06.000Z level=INFO msg="map change ended" box=side-1 group=g0 end=committed
`

const entrySettings = `{"box": "b", "hall": "h", "callers": "1:1", "ready": "1:2", "peers": "1:3", "store": "1:4"`

// writeFile writes a file into a temporary folder and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCommands(t *testing.T) {
	log := writeFile(t, "a.log", logLines)
	s := standin.NewStore()
	for kind, spec := range map[string]any{
		"config/main": standin.Configuration(7, "app", map[string]string{"org": "k"}),
		"servers/t-1": standin.NewTarget("t-1", "app", nil).Object("10.0.0.1:80", "hall-1", "draining"),
	} {
		k, name, _ := strings.Cut(kind, "/")
		if _, err := s.Put(k, name, spec); err != nil {
			t.Fatal(err)
		}
	}
	store := httptest.NewServer(s)
	defer store.Close()
	address := strings.TrimPrefix(store.URL, "http://")
	svg := filepath.Join(t.TempDir(), "r.svg")
	for name, tt := range map[string]struct {
		args []string
		code int
		out  string // must be contained in the standard output
		err  string // must be contained in the error output
	}{
		"explain":                         {[]string{"explain", "r1", log}, cli.ExitDone, "refused as no_target", ""},
		"explain an unknown request":      {[]string{"explain", "r9", log}, cli.ExitFailed, "", "unknown request"},
		"explain without a log":           {[]string{"explain", "r1"}, cli.ExitUsage, "", "requires the arguments REQUEST LOG"},
		"explain a missing file":          {[]string{"explain", "r1", log + "x"}, cli.ExitUsage, "", "no such file"},
		"report":                          {[]string{"report", "--svg", svg, log}, cli.ExitDone, "refused as no_target", ""},
		"report of overload":              {[]string{"report", writeFile(t, "b.log", overloadLines)}, cli.ExitDone, "BY CLASS  \n1/3                                      1\n\nWAITS FOR A GROUP TO OPEN  \nreleased                   1\n", ""},
		"report without a log":            {[]string{"report"}, cli.ExitUsage, "", "requires the arguments LOG"},
		"valid settings":                  {[]string{"check-settings", writeFile(t, "s.json", entrySettings+"}")}, cli.ExitDone, "valid for role entry", ""},
		"invalid settings":                {[]string{"check-settings", writeFile(t, "s.json", entrySettings+",\n\"agent_port\": -1}")}, cli.ExitUsage, "", "s.json:2"},
		"unknown role":                    {[]string{"check-settings", "--role", "cook", log}, cli.ExitUsage, "", "cook"},
		"status":                          {[]string{"status", "--store", address}, cli.ExitDone, "configuration 7", ""},
		"status of targets":               {[]string{"status", "--store", address}, cli.ExitDone, "leaving", ""},
		"status with unreachable store":   {[]string{"status", "--store", "127.0.0.1:1"}, cli.ExitFailed, "", "configuration"},
		"evacuate without a hall":         {[]string{"evacuate", "--store", address}, cli.ExitUsage, "", "requires one argument: HALL"},
		"evacuate an empty name":          {[]string{"evacuate", "--store", address, ""}, cli.ExitUsage, "", "requires one argument: HALL"},
		"evacuate an unknown hall":        {[]string{"evacuate", "--store", address, "hall-9"}, cli.ExitFailed, "", "invalid_object"},
		"readmit a hall that is in use":   {[]string{"readmit", "--store", address, "hall-1"}, cli.ExitFailed, "", "not being evacuated"},
		"evacuate with unreachable store": {[]string{"evacuate", "--store", "127.0.0.1:1", "hall-1"}, cli.ExitFailed, "", "list targets"},
		"lift with unreachable store":     {[]string{"lift", "--store", "127.0.0.1:1", strings.Repeat("0", 32)}, cli.ExitFailed, "", "list quarantines"},
		"list with unreachable store":     {[]string{"quarantine", "--store", "127.0.0.1:1"}, cli.ExitFailed, "", "list quarantines"},
		"unknown flag":                    {[]string{"report", "--paint", log}, cli.ExitUsage, "", "paint"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := cli.Run(t.Context(), append([]string{"clovertrail"}, tt.args...), &out, &errOut)
			if code != tt.code || !strings.Contains(out.String(), tt.out) || !strings.Contains(errOut.String(), tt.err) {
				t.Errorf("got exit code %d, output %q, errors %q; want exit code %d", code, out.String(), errOut.String(), tt.code)
			}
		})
	}
	if raw, err := os.ReadFile(svg); err != nil || !strings.Contains(string(raw), "<svg") {
		t.Errorf("SVG file: got %d bytes, error %v", len(raw), err)
	}
}

// lossyServer serves the store. It executes lost writing calls without an answer.
func lossyServer(t *testing.T, s *standin.Store, lost *int) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && *lost > 0 {
			*lost--
			s.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestQuarantineCommands runs the commands that list and lift quarantines one after the other. It guards
// against a lift that is reported but not in the store, and against one of work that is not there.
func TestQuarantineCommands(t *testing.T) {
	s, lostAnswers := standin.NewStore(), 0
	address := lossyServer(t, s, &lostAnswers)
	put := func(d call.Digest, ago time.Duration, targets ...string) {
		var ended []quarantine.Observation
		for _, id := range targets {
			ended = append(ended, quarantine.Observation{Digest: d, Target: domain.InstanceID(id), At: time.Now().Add(-ago)})
		}
		r := quarantine.NewRecord(ended)
		if _, err := s.Put("quarantine", r.Name(), r); err != nil {
			t.Fatal(err)
		}
	}
	digests := [...]call.Digest{call.DigestOf("o", "POST", "/0", nil), call.DigestOf("o", "POST", "/1", nil), call.DigestOf("o", "POST", "/2", nil)}
	put(digests[0], 10*time.Second, "a@1", "b@2")
	put(digests[1], 70*time.Second, "c@1", "d@2")
	if _, err := s.Put("quarantine", "damaged", 7); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		name    string
		args    []string
		lost    int
		code    int
		text    string // pattern that the output or the errors must match
		records int    // in the store afterwards
	}{
		{"list", []string{"quarantine"}, 0, cli.ExitDone, string(digests[0]) + ` +a@1,b@2 .* from `, 3},
		{"list work whose trial is due", []string{"quarantine"}, 0, cli.ExitDone, string(digests[1]) + ` +c@1,d@2 .* due`, 3},
		{"list a record that cannot be decoded", []string{"quarantine"}, 0, cli.ExitDone, "damaged .*cannot be decoded", 3},
		{"lift unknown work", []string{"lift", string(digests[2])}, 0, cli.ExitFailed, "invalid_object: .*no quarantine", 3},
		{"lift a malformed digest", []string{"lift", "damaged"}, 0, cli.ExitUsage, "invalid_object: .* no digest", 3},
		{"lift without a digest", []string{"lift"}, 0, cli.ExitUsage, "requires one argument: DIGEST", 3},
		{"lift", []string{"lift", string(digests[0])}, 0, cli.ExitDone, "is lifted", 4},
		{"lift again", []string{"lift", string(digests[0])}, 0, cli.ExitFailed, "invalid_object: .*no quarantine", 4},
		{"list after the lift", []string{"quarantine"}, 0, cli.ExitDone, `TRIAL\n` + string(digests[1]), 4},
		{"lift, the answer is lost", []string{"lift", string(digests[1])}, 1, cli.ExitDone, "is lifted", 5},
	} {
		lostAnswers = step.lost
		var out, errOut bytes.Buffer
		args := append([]string{"clovertrail", step.args[0], "--store", address}, step.args[1:]...)
		code := cli.Run(t.Context(), args, &out, &errOut)
		if code != step.code || !regexp.MustCompile(step.text).MatchString(out.String()+errOut.String()) {
			t.Errorf("%s: got exit code %d, output %q, errors %q; want exit code %d", step.name, code, out.String(), errOut.String(), step.code)
		}
		if n := len(s.Names("quarantine")); n != step.records {
			t.Errorf("%s: %d records in the store, want %d", step.name, n, step.records)
		}
	}
}

// TestEvacuationCommands runs the commands that begin and end evacuations one after the other.
func TestEvacuationCommands(t *testing.T) {
	s, lostAnswers := standin.NewStore(), 0
	if _, err := s.Put("servers", "t-1", standin.NewTarget("t-1", "app", nil).Object("10.0.0.1:80", "hall-1", "ready")); err != nil {
		t.Fatal(err)
	}
	address := lossyServer(t, s, &lostAnswers)
	for _, step := range []struct {
		name    string
		args    []string
		lost    int
		code    int
		text    string // must be contained in the output or the errors
		records int    // evacuations in the store afterwards
	}{
		{"begin", []string{"evacuate", "hall-1"}, 0, cli.ExitDone, "hall-1 is being evacuated", 1},
		{"begin again", []string{"evacuate", "hall-1"}, 0, cli.ExitFailed, "already being evacuated", 1},
		{"status", []string{"status"}, 0, cli.ExitDone, "evacuated", 1},
		{"end", []string{"readmit", "hall-1"}, 0, cli.ExitDone, "has ended", 0},
		{"end again", []string{"readmit", "hall-1"}, 0, cli.ExitFailed, "not being evacuated", 0},
		{"begin, the answer is lost", []string{"evacuate", "hall-1"}, 1, cli.ExitDone, "hall-1 is being evacuated", 1},
		{"end, the answer is lost", []string{"readmit", "hall-1"}, 1, cli.ExitDone, "has ended", 0},
	} {
		lostAnswers = step.lost
		var out, errOut bytes.Buffer
		args := append([]string{"clovertrail", step.args[0], "--store", address}, step.args[1:]...)
		code := cli.Run(t.Context(), args, &out, &errOut)
		if code != step.code || !strings.Contains(out.String()+errOut.String(), step.text) {
			t.Errorf("%s: got exit code %d, output %q, errors %q; want exit code %d", step.name, code, out.String(), errOut.String(), step.code)
		}
		if n := len(s.Names("evacuations")); n != step.records {
			t.Errorf("%s: %d evacuations in the store, want %d", step.name, n, step.records)
		}
	}
}

// TestBrokenMetricsOfBoxes guards against a box whose metrics are malformed, cut, or those of another server, and that is shown as one in order.
func TestBrokenMetricsOfBoxes(t *testing.T) {
	m, text := telemetry.NewMetrics(), bytes.Buffer{}
	m.Set(telemetry.Queued, "s", 0)
	m.Write(&text)
	storeServer, boxServer := httptest.NewServer(standin.NewStore()), httptest.NewServer(m.Handler())
	t.Cleanup(storeServer.Close)
	t.Cleanup(boxServer.Close)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", text.Len(), text.String())
	for name, response := range map[string]string{
		"sound":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		"cut between two chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"cut in a line":           fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", text.Len(), text.String()[:text.Len()-5]),
		"cut behind a line":       fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", text.Len()+1, text.String()),
		"cut in the head":         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
		"invalid name of a field": "HTTP/1.1 200 OK\r\nX Y: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
		"redirect":                "HTTP/1.1 302 Found\r\nLocation: " + boxServer.URL + "\r\nContent-Length: 0\r\n\r\n",
		"invalid status":          "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = c.Write([]byte(response))
				_ = c.Close()
			}))
			defer server.Close()
			var out, errOut bytes.Buffer
			args := []string{"clovertrail", "status", "--store", strings.TrimPrefix(storeServer.URL, "http://"), "--box", strings.TrimPrefix(server.URL, "http://")}
			if code := cli.Run(t.Context(), args, &out, &errOut); (code == cli.ExitDone) != (name == "sound") {
				t.Errorf("exit code %d, output %q, errors %q", code, out.String(), errOut.String())
			}
		})
	}
}

// TestStatusOfBoxes guards against a box without metrics that is passed over in silence, or that hides the others.
func TestStatusOfBoxes(t *testing.T) {
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	m := telemetry.NewMetrics()
	m.Set(telemetry.ConcurrencyLimit, "g0", 0.5)
	mux := http.NewServeMux()
	mux.Handle("/metrics", m.Handler())
	storeAddress, box, other := serve(standin.NewStore()), serve(mux), serve(http.NotFoundHandler())
	const lost, limit = "127.0.0.1:1", ` +group g0 +limits new callers to 0.50 of its slots`
	for _, tt := range []struct {
		name, store, boxes string
		code               int
		text               string // pattern that the output and the errors must match
	}{
		{"no box", storeAddress, "", cli.ExitDone, `RANK\n$`},
		{"a box", storeAddress, box, cli.ExitDone, box + limit},
		{"a box that does not answer", storeAddress, lost + "," + box, cli.ExitFailed, lost + ` +- +unknown: .*refused\n` + box + limit + `\n.* 1 of 2 boxes`},
		{"another server", storeAddress, other, cli.ExitFailed, other + " +- +unknown: invalid metrics: status 404"},
		{"the store does not answer", lost, box, cli.ExitFailed, box + limit + `\n.*list configurations`},
		{"no address", storeAddress, "box-1", cli.ExitUsage, "--box: .*missing port"},
	} {
		var out, errOut bytes.Buffer
		args := []string{"clovertrail", "status", "--store", tt.store}
		if tt.boxes != "" {
			args = append(args, "--box", tt.boxes)
		}
		code := cli.Run(t.Context(), args, &out, &errOut)
		if code != tt.code || !regexp.MustCompile(tt.text).MatchString(out.String()+errOut.String()) {
			t.Errorf("%s: got exit code %d, output %q, errors %q; want exit code %d", tt.name, code, out.String(), errOut.String(), tt.code)
		}
	}
}
