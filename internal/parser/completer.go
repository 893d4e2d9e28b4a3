package parser

import (
	"slices"
	"strings"
)

// Names gives the names that exist, for completion.
type Names interface {
	// List returns the names for a value of a form, such as SERVICE.
	List(value string) []string
}

// Complete returns what may stand next in text: the ends of the word that text
// ends in, or all next words where text ends in a space. Where names is nil, a
// value shows as its word in capitals.
func Complete(text string, names Names) []string {
	typed := strings.Fields(strings.ReplaceAll(text, ",", " , "))
	partial := ""
	if len(typed) > 0 && !strings.HasSuffix(text, " ") && !strings.HasSuffix(text, ",") {
		partial = typed[len(typed)-1]
		typed = typed[:len(typed)-1]
	}
	var matches []string
	for _, form := range formsFor(&typed) {
		for _, candidate := range form.next(typed) {
			matches = append(matches, spell(candidate, names)...)
		}
	}
	other := func(candidate string) bool { return !strings.HasPrefix(candidate, partial) }
	matches = slices.DeleteFunc(matches, other)
	slices.Sort(matches)
	return slices.Compact(matches)
}

// formsFor returns the forms that may follow, and cuts off typed the part of a
// proposal that stands before its last change.
func formsFor(typed *[]string) []Form {
	words := *typed
	if comma := lastIndex(words, ","); comma >= 0 {
		*typed = words[comma+1:]
		return changeForms
	}
	if len(words) > 0 && words[0] == "propose" {
		*typed = words[1:]
		return changeForms
	}
	return Forms("")
}

func lastIndex(words []string, word string) int {
	for index := len(words) - 1; index >= 0; index-- {
		if words[index] == word {
			return index
		}
	}
	return -1
}

// next returns the words of the form that may follow typed.
func (form Form) next(typed []string) []string {
	for index, word := range typed[:min(len(typed), len(form.head))] {
		if !fits(form.head[index], word) {
			return nil
		}
	}
	if len(typed) < len(form.head) {
		return strings.Split(form.head[len(typed)], "|")
	}
	pairs := typed[len(form.head):]
	if len(pairs)%2 == 1 {
		return form.valueOf(pairs[len(pairs)-1])
	}
	var names []string
	for _, attribute := range form.attributes {
		if !named(pairs, attribute.name) {
			names = append(names, attribute.name)
		}
	}
	return names
}

func (form Form) valueOf(name string) []string {
	for _, attribute := range form.attributes {
		if attribute.name == name {
			return strings.Split(attribute.value, "|")
		}
	}
	return nil
}

// named reports whether one of the pairs has name.
func named(pairs []string, name string) bool {
	for index := 0; index < len(pairs); index += 2 {
		if pairs[index] == name {
			return true
		}
	}
	return false
}

// fits reports whether word can stand for a word of a form.
func fits(wanted, word string) bool {
	return isValue(wanted) || slices.Contains(strings.Split(wanted, "|"), word)
}

// isValue reports whether a word of a form stands for a value.
func isValue(word string) bool { return word == strings.ToUpper(word) }

// spell returns the names that candidate stands for, or candidate itself.
func spell(candidate string, names Names) []string {
	if !isValue(candidate) || names == nil {
		return []string{candidate}
	}
	return names.List(candidate)
}
