package setter

import (
	"fmt"
	"strings"
)

// Page returns docs/SETTINGS.md: every setting with what is allowed, its
// default and what it does.
func Page() string {
	var page strings.Builder
	page.WriteString("# Settings of chivespoold\n\n")
	page.WriteString("This page is made from the code by `bin/chivespoold settings-page`; a test keeps the two alike.\n")
	page.WriteString("The file is INI. It is checked as a whole: `bin/chivespoold check-settings --settings FILE` ")
	page.WriteString("lists every error at once and exits with 1; an unknown key is an error.\n")
	section := ""
	for _, setting := range table {
		if setting.section != section {
			section = setting.section
			fmt.Fprintf(&page, "\n## [%s]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", setting.key, setting.shownDefault(), setting.allowed, setting.doc)
	}
	return page.String()
}

func (setting *setting) shownDefault() string {
	switch {
	case setting.required:
		return "required"
	case setting.fallback == "":
		return "none"
	}
	return "`" + setting.fallback + "`"
}
