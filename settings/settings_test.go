package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gopkg.in/ini.v1"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/settings"
)

// TestParse runs the scripts in testdata: "parse" reads a settings file, "values" tries the values of one key.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "values" {
				return tryValues(t, td)
			}
			st, err := settings.Parse("host.ini", []byte(td.Input))
			if err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%+v\n", st)
		})
	})
}

// minimal holds the required keys, so that the key that a case is about decides.
const minimal = `
[Host]
Name = accra-a-1
AvailabilityZone = accra-a
CallerAddress = 127.0.0.1:8000
PeerAddress = 127.0.0.1:8100
OperatorAddress = 127.0.0.1:8200
[Platform]
URL = http://127.0.0.1:7000/
`

func tryValues(t *testing.T, td *datadriven.TestData) string {
	t.Helper()
	section, name := td.CmdArgs[0].Key, td.CmdArgs[1].Key
	var out strings.Builder
	for _, value := range append(strings.Split(td.Input, "\n"), "") {
		file, err := ini.Load([]byte(minimal))
		assert.NilError(t, err)
		file.Section(section).Key(name).SetValue(value)
		var text strings.Builder
		_, err = file.WriteTo(&text)
		assert.NilError(t, err)
		st, err := settings.Parse("host.ini", []byte(text.String()))
		if err != nil {
			fmt.Fprintf(&out, "%q: %v\n", value, err)
			continue
		}
		fmt.Fprintf(&out, "%q: %v\n", value, valueOf(st, section, name))
	}
	return out.String()
}

// valueOf returns the value in force of a key that the platform fills in.
func valueOf(st settings.Settings, section, name string) any {
	return map[string]any{
		"Host.Name": st.Host.Name, "Host.AvailabilityZone": st.Host.AvailabilityZone, "Host.CallerAddress": st.Host.CallerAddress,
		"Host.PeerAddress": st.Host.PeerAddress, "Host.OperatorAddress": st.Host.OperatorAddress, "Host.ReadyAddress": st.Host.ReadyAddress,
		"Host.DirectoryAddress": st.Host.DirectoryAddress, "Platform.URL": st.Platform.URL, "Peers.Seeds": st.Peers.Seeds,
		"Retries.Share": st.Retries.Share, "Retries.Slack": st.Retries.Slack, "Limits.MemoryMegabytes": st.Limits.MemoryMegabytes,
		"Limits.ProcessorShare": st.Limits.ProcessorShare, "Operators.ShutdownTimeout": st.Operators.ShutdownTimeout,
		"Memory.FreeWithin": st.Memory.FreeWithin, "Memory.UnusedWithin": st.Memory.UnusedWithin,
	}[section+"."+name]
}

// TestEveryTemplateKeyHasCases checks that the script has a case for every key that the platform fills in.
func TestEveryTemplateKeyHasCases(t *testing.T) {
	script, err := os.ReadFile("testdata/platform.txt")
	assert.NilError(t, err)
	template, err := os.ReadFile("../deploy/host.ini")
	assert.NilError(t, err)
	section := ""
	for line := range strings.SplitSeq(string(template), "\n") {
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
		}
		if !strings.Contains(line, "{{") {
			continue
		}
		name, _, _ := strings.Cut(line, " = ")
		name = name[strings.LastIndexByte(name, '}')+1:]
		assert.Assert(t, strings.Contains(string(script), "values "+section+" "+name+"\n"), "section %s key %s", section, name)
	}
}
