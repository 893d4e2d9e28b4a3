// Package loader reads the settings of a process from an INI file. Command
// chivespoold and package launcher call it.
//
// A file is checked as a whole: all errors are reported at once, each with its
// section, key and allowed values, and an unknown key is an error. The table in
// table.go defines all settings; docs/SETTINGS.md is generated from it. Only
// [Read] does I/O.
package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in a settings file.
type Problem struct {
	section string
	key     string
	// value is the value in the file; empty if the key is missing.
	value string
	// remedy says how to correct the value.
	remedy string
}

// Section returns the section of the setting.
func (problem *Problem) Section() string { return problem.section }

// Key returns the key of the setting.
func (problem *Problem) Key() string { return problem.key }

// Error names the setting, its value and the remedy.
func (problem *Problem) Error() string {
	return fmt.Sprintf("[%s] %s = %q: %s", problem.section, problem.key, problem.value, problem.remedy)
}

// Report holds all errors in one settings file.
type Report struct {
	file     string
	problems []*Problem
}

// Problems returns the errors in the order of docs/SETTINGS.md, unknown keys last.
func (report *Report) Problems() []*Problem { return report.problems }

// Error lists the file and all its errors, one per line.
func (report *Report) Error() string {
	lines := make([]string, 0, len(report.problems)+1)
	lines = append(lines, fmt.Sprintf("settings %s: problems found: %d", report.file, len(report.problems)))
	for _, problem := range report.problems {
		lines = append(lines, "  "+problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Read reads and checks the settings in file. If the file can be parsed but holds
// errors, Read returns a [Report].
func Read(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: name a readable file with --settings: %w", err)
	}
	return Parse(file, text)
}

// Parse checks the settings in text; file is named in errors.
func Parse(file string, text []byte) (*Settings, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: write lines of key = value under [section]: %w", file, err)
	}
	settings := Default()
	report := &Report{file: file}
	for _, setting := range table {
		if problem := setting.read(settings, parsed); problem != nil {
			report.problems = append(report.problems, problem)
		}
	}
	report.problems = append(report.problems, unknownKeys(parsed)...)
	if len(report.problems) == 0 {
		report.problems = settings.conflicts()
	}
	if len(report.problems) > 0 {
		return nil, report
	}
	return settings, nil
}

// Default returns the settings with all defaults; required values are empty.
func Default() *Settings {
	settings := &Settings{}
	for _, setting := range table {
		if setting.defaultValue != "" {
			// A test checks that every default is valid.
			_ = setting.set(settings, setting.defaultValue)
		}
	}
	return settings
}

// setting is one row of the table.
type setting struct {
	section string
	key     string
	// defaultValue is the default as written in a file; empty for none.
	defaultValue string
	// required settings have no default and must be given.
	required bool
	// allowed describes the allowed values, for errors and the page.
	allowed string
	doc     string
	// set validates value and stores it.
	set func(settings *Settings, value string) error
}

func (setting *setting) read(settings *Settings, parsed *ini.File) *Problem {
	section := parsed.Section(setting.section)
	if !section.HasKey(setting.key) {
		if setting.required {
			return setting.problem("", "is required; give "+setting.allowed)
		}
		return nil
	}
	values := section.Key(setting.key).ValueWithShadows()
	if len(values) > 1 {
		return setting.problem(strings.Join(values, ", "), "is given more than once; keep one line")
	}
	value := section.Key(setting.key).String()
	if settings.given == nil {
		settings.given = make(map[string]string)
	}
	settings.given[fmt.Sprintf("[%s] %s", setting.section, setting.key)] = value
	if err := setting.set(settings, value); err != nil {
		return setting.problem(value, "give "+setting.allowed)
	}
	return nil
}

func (setting *setting) problem(value, remedy string) *Problem {
	return &Problem{section: setting.section, key: setting.key, value: value, remedy: remedy}
}

// unknownKeys returns a problem for each key that is not in the table.
func unknownKeys(parsed *ini.File) []*Problem {
	var problems []*Problem
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			if !isKnown(section.Name(), key.Name()) {
				problem := &Problem{section: section.Name(), key: key.Name(), value: key.String()}
				problem.remedy = "is not a known setting; " + knownNames(section.Name())
				problems = append(problems, problem)
			}
		}
	}
	return problems
}

func isKnown(section, key string) bool {
	return slices.ContainsFunc(table, func(setting setting) bool {
		return setting.section == section && setting.key == key
	})
}

// knownNames lists the keys of section, or all sections if it is unknown.
func knownNames(section string) string {
	var keys, sections []string
	for _, setting := range table {
		if setting.section == section {
			keys = append(keys, setting.key)
		}
		if !slices.Contains(sections, setting.section) {
			sections = append(sections, setting.section)
		}
	}
	if len(keys) > 0 {
		return "this section has " + strings.Join(keys, ", ")
	}
	return "the sections are " + strings.Join(sections, ", ")
}
