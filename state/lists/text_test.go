package lists_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// TestListScripts runs the scripts in testdata: "edit LIST" replaces a list, "show LIST" prints it.
func TestListScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		fd := lists.NewReplica()
		fd.SetLogStart(0)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			list := lists.Name(td.CmdArgs[0].Key)
			if td.Cmd == "show" {
				return string(fd.Lists().Format(list))
			}
			sections, err := lists.ParseSections(list, []byte(td.Input))
			if err != nil {
				return err.Error()
			}
			edit, err := fd.Lists().Diff(list, sections)
			if err != nil {
				return err.Error()
			}
			body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
			if err != nil {
				t.Fatal(err)
			}
			fd.ApplyRecord(fd.NextOffset(), body)
			var names []string
			for _, sec := range edit.Put {
				names = append(names, sec.Name)
			}
			return fmt.Sprintf("put %s; remove %s; revision %d\n",
				strings.Join(names, ","), strings.Join(edit.Remove, ","), fd.Lists().Revisions[list])
		})
	})
}
