package parser

import (
	"slices"
	"strings"
)

// NameSource lists existing names for completion.
type NameSource interface {
	// List returns the names for a placeholder of a form, such as SERVICE.
	List(value string) []string
}

// Complete returns the completions of the last word of text, or all valid next
// words if text ends in a space. If names is nil, placeholders are returned in
// capitals in place of names.
func Complete(text string, names NameSource) []string {
	typed := strings.Fields(strings.ReplaceAll(text, ",", " , "))
	partial := ""
	if len(typed) > 0 && !strings.HasSuffix(text, " ") && !strings.HasSuffix(text, ",") {
		partial = typed[len(typed)-1]
		typed = typed[:len(typed)-1]
	}
	var matches []string
	for _, form := range formsFor(&typed) {
		for _, candidate := range form.next(typed) {
			matches = append(matches, expand(candidate, names)...)
		}
	}
	mismatch := func(candidate string) bool { return !strings.HasPrefix(candidate, partial) }
	matches = slices.DeleteFunc(matches, mismatch)
	slices.Sort(matches)
	return slices.Compact(matches)
}

// formsFor returns the candidate forms for typed. In a proposal, it removes the
// words before the last change from typed.
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

// next returns the words of the form that are valid after typed.
func (form Form) next(typed []string) []string {
	for index, word := range typed[:min(len(typed), len(form.head))] {
		if !matchesWord(form.head[index], word) {
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
		if !hasAttribute(pairs, attribute.name) {
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

// hasAttribute reports whether name is set in pairs of names and values.
func hasAttribute(pairs []string, name string) bool {
	for index := 0; index < len(pairs); index += 2 {
		if pairs[index] == name {
			return true
		}
	}
	return false
}

// matchesWord reports whether word is valid in place of formWord.
func matchesWord(formWord, word string) bool {
	return isValue(formWord) || slices.Contains(strings.Split(formWord, "|"), word)
}

// isValue reports whether a word of a form is a placeholder for a value.
func isValue(word string) bool { return word == strings.ToUpper(word) }

// expand returns the names for a placeholder, or candidate itself if it is none.
func expand(candidate string, names NameSource) []string {
	if !isValue(candidate) || names == nil {
		return []string{candidate}
	}
	return names.List(candidate)
}
