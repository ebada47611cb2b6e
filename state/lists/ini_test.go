package lists_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// TestListScripts runs the scripts in testdata/scripts. "edit LIST" replaces a list by the given text and prints the
// resulting edit or the error; "show LIST" prints a list.
func TestListScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		rp := lists.NewReplica()
		rp.SetLogStart(0)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			list := lists.Name(td.CmdArgs[0].Key)
			if td.Cmd == "show" {
				return string(rp.Lists().Format(list))
			}
			sections, err := lists.ParseSections(list, []byte(td.Input))
			if err != nil {
				return err.Error()
			}
			edit, err := rp.Lists().Diff(list, sections)
			if err != nil {
				return err.Error()
			}
			body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
			if err != nil {
				t.Fatal(err)
			}
			rp.ApplyRecord(rp.NextOffset(), body)
			var putNames []string
			for _, sec := range edit.Put {
				putNames = append(putNames, sec.Name)
			}
			return fmt.Sprintf("put %s; remove %s; revision %d\n",
				strings.Join(putNames, ","), strings.Join(edit.Remove, ","), rp.Lists().Revisions[list])
		})
	})
}
