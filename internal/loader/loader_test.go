package loader_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

func TestExampleSettingsMatchDefaults(t *testing.T) {
	is := is.New(t)
	s, err := loader.Parse("settings.jsonc", examples.Settings)
	is.NoErr(err)
	d := loader.Default()
	is.Equal(s.Policy, d.Policy)
	is.Equal(s.Shutdown, d.Shutdown)
	is.Equal(s.Tickets, d.Tickets)
}

func TestInvalidSettingsReportPosition(t *testing.T) {
	valid := string(examples.Settings)
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown field":   {`"name"`, `"title"`, `unknown field "title"`},
		"wrong unit":      {`"3s"`, `"3"`, "missing unit"},
		"wrong type":      {`"queueLimit": 64`, `"queueLimit": "64"`, "line 20, column"},
		"missing address": {`"peers": "127.0.0.1:7001",`, ``, "peers: \"\" is not an IP address with a port"},
		"host name":       {`127.0.0.1:7000`, `entry-0:7000`, "callers: \"entry-0:7000\" is not an IP address"},
		"bad syntax":      {`"region": "tn-sfax",`, `"region" "tn-sfax",`, "line 6, column"},
		"unknown route":   {`"route": "auto"`, `"route": "fast"`, `policy.route: "fast" must be auto, gateway, direct or owner`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := loader.Parse("settings.jsonc", []byte(strings.Replace(valid, c.old, c.new, 1)))
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
		})
	}
}

func TestExampleDeclarationsAreValid(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{examples.Sfax, examples.Olwyn} {
		_, err := declarer.ParseDeclarations("example", data)
		is.NoErr(err)
	}
}

func TestInvalidDeclarationsReportAllErrors(t *testing.T) {
	is := is.New(t)
	invalid := strings.NewReplacer(`"selector": "app=bookings"`, `"selector": "app=,="`, `"slots": 2`, `"slots": 0`, `"van"`, `"counter"`).Replace(string(examples.Olwyn))
	_, err := declarer.ParseDeclarations("olwyn.jsonc", []byte(invalid))
	is.True(err != nil)
	for _, want := range []string{"services[0]: slots must be above 0", "services[1]: slots", "services[2]: selector", `classes[1]: name "counter" is used twice`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(examples.Settings)
	f.Add(examples.Olwyn)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loader.Parse("fuzz", data)
		_, _ = declarer.ParseDeclarations("fuzz", data)
		_, _ = declarer.ParseIndexes("fuzz", data)
	})
}
