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

// TestParse runs the scripts in testdata. The command "parse" parses the input as a settings file. The command "values"
// parses a file with the required keys once for each line of the input, with that line as the value of the named key,
// and once with an empty value. Both print the resulting settings or the error.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "values" {
				return parseEachValue(t, data)
			}
			parsed, err := settings.Parse("host.ini", []byte(data.Input))
			if err != nil {
				return err.Error()
			}
			return fmt.Sprintf("%+v\n", parsed)
		})
	})
}

// requiredKeysOnly is a valid settings file to which "values" adds one key, so that only this key decides the result.
const requiredKeysOnly = `
[Host]
Name = accra-a-1
AvailabilityZone = accra-a
CallerAddress = 127.0.0.1:8000
PeerAddress = 127.0.0.1:8100
OperatorAddress = 127.0.0.1:8200
[Platform]
URL = http://127.0.0.1:7000/
`

func parseEachValue(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	section, keyName := data.CmdArgs[0].Key, data.CmdArgs[1].Key
	var output strings.Builder
	for _, value := range append(strings.Split(data.Input, "\n"), "") {
		file, err := ini.Load([]byte(requiredKeysOnly))
		assert.NilError(t, err)
		file.Section(section).Key(keyName).SetValue(value)
		var text strings.Builder
		_, err = file.WriteTo(&text)
		assert.NilError(t, err)
		parsed, err := settings.Parse("host.ini", []byte(text.String()))
		if err != nil {
			fmt.Fprintf(&output, "%q: %v\n", value, err)
			continue
		}
		fmt.Fprintf(&output, "%q: %v\n", value, effectiveValue(parsed, section, keyName))
	}
	return output.String()
}

// effectiveValue returns the value in force of a key that the platform's template fills in.
func effectiveValue(parsed settings.Settings, section, keyName string) any {
	return map[string]any{
		"Host.Name": parsed.Host.Name, "Host.AvailabilityZone": parsed.Host.AvailabilityZone, "Host.CallerAddress": parsed.Host.CallerAddress,
		"Host.PeerAddress": parsed.Host.PeerAddress, "Host.OperatorAddress": parsed.Host.OperatorAddress, "Host.ReadyAddress": parsed.Host.ReadyAddress,
		"Host.DirectoryAddress": parsed.Host.DirectoryAddress, "Platform.URL": parsed.Platform.URL, "Peers.Seeds": parsed.Peers.Seeds,
		"Retries.Share": parsed.Retries.Share, "Retries.Slack": parsed.Retries.Slack, "Limits.MemoryMegabytes": parsed.Limits.MemoryMegabytes,
		"Limits.ProcessorShare": parsed.Limits.ProcessorShare, "Operators.ShutdownTimeout": parsed.Operators.ShutdownTimeout,
		"Engines.ColdOverage": parsed.Engines.ColdOverage, "Engines.ColdSlack": parsed.Engines.ColdSlack,
		"Memory.FreeWithin": parsed.Memory.FreeWithin, "Memory.UnusedWithin": parsed.Memory.UnusedWithin,
	}[section+"."+keyName]
}

// TestEveryTemplateKeyHasCases checks that testdata/platform.txt has a "values" command for every key that the template
// deploy/host.ini fills in, so that the parser is tested with what the platform may write.
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
		keyName, _, _ := strings.Cut(line, " = ")
		keyName = keyName[strings.LastIndexByte(keyName, '}')+1:]
		assert.Assert(t, strings.Contains(string(script), "values "+section+" "+keyName+"\n"), "section %s key %s", section, keyName)
	}
}
