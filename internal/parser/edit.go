package parser

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/chivespool/chivespool/internal/definer"
)

// Edit is a change as an operator wrote it. Change fills omitted values in from
// the existing object.
type Edit struct {
	verb   editVerb
	object definer.Object
	values values
}

type editVerb int

const (
	create editVerb = iota
	alter
	remove
	drain
	restore
	appoint
)

// values are the attributes that the operator wrote; nil means omitted.
type values struct {
	pool       *string
	address    *string
	region     *string
	dataCentre *string
	slots      *int
	service    *string
	method     *string
	path       *string
	repeatable *bool
	lane       *definer.Lane
	priority   *int
	deadline   *time.Duration
	key        ed25519.PublicKey
}

// Object returns the object that the edit changes.
func (edit Edit) Object() definer.Object { return edit.object }

// Change returns the complete change that the edit makes to configuration. It
// fails with a [definer.ChangeError] if the object to create exists or the
// object to alter does not.
func (edit Edit) Change(configuration *definer.Configuration) (definer.Change, error) {
	if err := edit.check(configuration); err != nil {
		return definer.Change{}, err
	}
	name := edit.object.Name()
	switch edit.verb {
	case remove:
		return definer.RemoveObject(edit.object), nil
	case drain:
		return definer.DrainEndpoint(name), nil
	case restore:
		return definer.RestoreEndpoint(name), nil
	case appoint:
		return definer.SetChair(name), nil
	}
	switch edit.object.Kind() {
	case definer.KindService:
		return definer.SetService(definer.NewService(name, valueOr(edit.values.pool, ""))), nil
	case definer.KindPool:
		return definer.SetPool(name), nil
	case definer.KindEndpoint:
		return edit.values.endpoint(name, configuration), nil
	case definer.KindRule:
		return edit.values.rule(name, configuration), nil
	}
	return definer.SetMember(definer.NewMember(name, edit.values.key)), nil
}

func (edit Edit) check(configuration *definer.Configuration) error {
	exists := configuration.Has(edit.object)
	if edit.verb == create && exists {
		remedy := "choose another name"
		if len(attributesOf[edit.object.Kind()]) > 0 {
			remedy = fmt.Sprintf("change it with: alter %s, or choose another name", edit.object)
		}
		return definer.NewChangeError(definer.InUse, edit.object, "exists already", remedy)
	}
	if edit.verb == alter && !exists {
		remedy := fmt.Sprintf("make it with: create %s, or check the name with: show %ss", edit.object, edit.object.Kind())
		return definer.NewChangeError(definer.Missing, edit.object, "does not exist", remedy)
	}
	return nil
}

// valueOr returns the written value, or fallback if it was omitted.
func valueOr[V any](written *V, fallback V) V {
	if written == nil {
		return fallback
	}
	return *written
}

func (values values) endpoint(name string, configuration *definer.Configuration) definer.Change {
	current, _ := configuration.Endpoint(name)
	place := definer.NewPlace(valueOr(values.region, current.Place().Region()), valueOr(values.dataCentre, current.Place().DataCentre()))
	endpoint := definer.NewEndpoint(name, valueOr(values.pool, current.Pool()), valueOr(values.address, current.Address()),
		place, valueOr(values.slots, current.Slots()))
	return definer.SetEndpoint(endpoint.WithDrained(current.Drained()))
}

func (values values) rule(name string, configuration *definer.Configuration) definer.Change {
	current := definer.NewRule(name, "", "", "")
	for _, rule := range configuration.Rules() {
		if rule.Name() == name {
			current = rule
		}
	}
	return definer.SetRule(definer.NewRule(name, valueOr(values.service, current.Service()),
		valueOr(values.method, current.Method()), valueOr(values.path, current.Prefix()),
		definer.Repeatable(valueOr(values.repeatable, current.Repeatable())),
		definer.InLane(valueOr(values.lane, current.Lane())),
		definer.WithPriority(valueOr(values.priority, current.Priority())),
		definer.WithDeadline(valueOr(values.deadline, current.Deadline()))))
}

// edit converts the node to an Edit.
func (editNode *editNode) edit(text string) (Edit, error) {
	switch {
	case editNode.Create != nil:
		return editNode.Create.edit(text, create)
	case editNode.Alter != nil:
		return editNode.Alter.edit(text, alter)
	case editNode.Remove != nil:
		return Edit{verb: remove, object: editNode.Remove.object()}, nil
	case editNode.Drain != nil:
		return Edit{verb: drain, object: definer.NewObject(definer.KindEndpoint, editNode.Drain.Text)}, nil
	case editNode.Restore != nil:
		return Edit{verb: restore, object: definer.NewObject(definer.KindEndpoint, editNode.Restore.Text)}, nil
	}
	return Edit{verb: appoint, object: definer.NewObject(definer.KindChair, editNode.Chair.Text)}, nil
}

func (objectNode *objectNode) object() definer.Object {
	return definer.NewObject(definer.ObjectKind(objectNode.Kind), objectNode.Name.Text)
}

// attributesOf lists the attributes of each kind of object.
var attributesOf = map[definer.ObjectKind][]attribute{
	definer.KindService:  serviceAttributes,
	definer.KindEndpoint: endpointAttributes,
	definer.KindRule:     ruleAttributes,
	definer.KindMember:   memberAttributes,
}

func (defineNode *defineNode) edit(text string, verb editVerb) (Edit, error) {
	edit := Edit{verb: verb, object: defineNode.Object.object()}
	seen := map[string]bool{}
	known := attributesOf[edit.object.Kind()]
	for _, attributeNode := range defineNode.Attributes {
		if err := attributeNode.check(text, known, seen); err != nil {
			return edit, err
		}
		if err := edit.values.set(text, attributeNode); err != nil {
			return edit, err
		}
	}
	for _, attribute := range known {
		optional := verb == alter || edit.object.Kind() == definer.KindRule && attribute.name != "service"
		if !optional && !seen[attribute.name] {
			detail := fmt.Sprintf("%s is missing", attribute.name)
			return edit, defineNode.Object.Name.syntaxError(text, detail, fmt.Sprintf("add: %s %s", attribute.name, attribute.value))
		}
	}
	if verb == alter && len(defineNode.Attributes) == 0 {
		return edit, defineNode.Object.Name.syntaxError(text, "nothing is altered", "add what to alter, as help alter shows")
	}
	return edit, nil
}

// check reports an error if the attribute is unknown or repeated.
func (attributeNode *attributeNode) check(text string, known []attribute, seen map[string]bool) error {
	var names []string
	for _, attribute := range known {
		names = append(names, attribute.name)
	}
	name := attributeNode.Name.Text
	if seen[name] {
		return attributeNode.Name.syntaxError(text, "this is written twice", "leave one of them out")
	}
	for _, candidate := range names {
		if candidate == name {
			seen[name] = true
			return nil
		}
	}
	remedy := "end the statement here"
	if near, ok := closest(name, names); ok {
		remedy = fmt.Sprintf("did you mean %q?", near)
	} else if len(names) > 0 {
		remedy = "write " + joinAlternatives(names)
	}
	return attributeNode.Name.syntaxError(text, "there is no such attribute", remedy)
}

// set parses the value of one attribute.
func (values *values) set(text string, node *attributeNode) error {
	written := node.Value.Text
	var err error
	switch node.Name.Text {
	case "pool":
		values.pool = &written
	case "address":
		values.address = &written
	case "region":
		values.region = &written
	case "data-centre":
		values.dataCentre = &written
	case "service":
		values.service = &written
	case "method":
		values.method = &written
	case "path":
		values.path = &written
	case "slots":
		values.slots, err = parseValue(node.Value.number, text)
	case "priority":
		values.priority, err = parseValue(node.Value.number, text)
	case "deadline":
		values.deadline, err = parseValue(node.Value.duration, text)
	case "repeatable":
		values.repeatable, err = parseValue(node.Value.boolean, text)
	case "lane":
		values.lane, err = parseValue(node.Value.lane, text)
	case "key":
		values.key, err = node.Value.key(text)
	}
	return err
}

func parseValue[V any](parse func(text string) (V, error), text string) (*V, error) {
	value, err := parse(text)
	return &value, err
}

func (word *word) boolean(text string) (bool, error) {
	if word.Text != "yes" && word.Text != "no" {
		return false, word.syntaxError(text, "this is neither yes nor no", "write yes or no")
	}
	return word.Text == "yes", nil
}

func (word *word) lane(text string) (definer.Lane, error) {
	switch word.Text {
	case definer.Short.String():
		return definer.Short, nil
	case definer.Long.String():
		return definer.Long, nil
	}
	return definer.Short, word.syntaxError(text, "there is no such lane", "write short or long")
}

func (word *word) key(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(word.Text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, word.syntaxError(text, "this is not a public key", "make one with: chivesctl keygen")
	}
	return key, nil
}
