package loader

import (
	"fmt"
	"strings"
)

// SettingsPage returns the text of docs/SETTINGS.md: every setting with its default,
// allowed values and meaning.
func SettingsPage() string {
	var page strings.Builder
	page.WriteString("# Settings of chivespoold\n\n")
	page.WriteString("This page is generated from the code by `bin/chivespoold settings-page`; a test checks that it is current.\n")
	page.WriteString("The file is INI. It is checked as a whole: `bin/chivespoold check-settings --settings FILE` ")
	page.WriteString("lists every error at once and exits with 1; an unknown key is an error.\n")
	section := ""
	for _, setting := range table {
		if setting.section != section {
			section = setting.section
			fmt.Fprintf(&page, "\n## [%s]\n\n| key | default | allowed | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", setting.key, setting.defaultText(), setting.allowed, setting.doc)
	}
	return page.String()
}

func (setting *setting) defaultText() string {
	switch {
	case setting.required:
		return "required"
	case setting.defaultValue == "":
		return "none"
	}
	return "`" + setting.defaultValue + "`"
}
