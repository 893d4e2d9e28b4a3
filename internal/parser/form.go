package parser

import "strings"

// Form is the syntax of one kind of statement. Words in capitals are
// placeholders for values.
type Form struct {
	// head lists the leading words in order; a|b means either.
	head []string
	// attributes are pairs of a name and a value, in any order after the head.
	attributes []attribute
	// optional is true if attributes may be omitted.
	optional bool
	help     string
}

type attribute struct{ name, value string }

// Help returns a description of the statement without a full stop.
func (form Form) Help() string { return form.help }

// String returns the form as printed by help.
func (form Form) String() string {
	parts := []string{strings.Join(form.head, " ")}
	for _, attribute := range form.attributes {
		part := attribute.name + " " + attribute.value
		if form.optional || attribute.name != "service" && form.head[1] == "rule" {
			part = "[" + part + "]"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, " ")
}

var (
	serviceAttributes  = []attribute{{"pool", "POOL"}}
	endpointAttributes = []attribute{
		{"pool", "POOL"},
		{"address", "IP:PORT"},
		{"region", "REGION"},
		{"data-centre", "DATA-CENTRE"},
		{"slots", "NUMBER"},
	}
	ruleAttributes = []attribute{
		{"service", "SERVICE"},
		{"method", "METHOD"},
		{"path", "PATH"},
		{"repeatable", "yes|no"},
		{"lane", "short|long"},
		{"priority", "NUMBER"},
		{"deadline", "DURATION"},
	}
	memberAttributes = []attribute{{"key", "KEY"}}
)

// changeForms are the statements that a proposal may contain.
var changeForms = []Form{
	{head: words("create service NAME"), attributes: serviceAttributes, help: "a service whose requests run on a pool"},
	{head: words("create pool NAME"), help: "a pool of endpoints"},
	{head: words("create endpoint NAME"), attributes: endpointAttributes, help: "an address of a backend server with its slots"},
	{head: words("create rule NAME"), attributes: ruleAttributes, help: "how requests of a service are treated"},
	{head: words("create member NAME"), attributes: memberAttributes, help: "a seat in the committee"},
	{head: words("alter service SERVICE"), attributes: serviceAttributes, help: "run a service on another pool"},
	{head: words("alter endpoint ENDPOINT"), attributes: endpointAttributes, optional: true, help: "change some of an endpoint's values"},
	{head: words("alter rule RULE"), attributes: ruleAttributes, optional: true, help: "change some of a rule's values"},
	{head: words("alter member MEMBER"), attributes: memberAttributes, help: "give a member a new key"},
	{head: words("remove service SERVICE"), help: "remove a service that has no rules"},
	{head: words("remove pool POOL"), help: "remove a pool that nothing uses"},
	{head: words("remove endpoint ENDPOINT"), help: "remove an endpoint"},
	{head: words("remove rule RULE"), help: "remove a rule"},
	{head: words("remove member MEMBER"), help: "take a seat away"},
	{head: words("drain endpoint ENDPOINT"), help: "keep new work from an endpoint"},
	{head: words("restore endpoint ENDPOINT"), help: "let new work go to an endpoint again"},
	{head: words("chair MEMBER"), help: "make a member the chair"},
}

// queryForms are read-only.
var queryForms = []Form{
	{head: words("status"), help: "this entry host, its peers and the store"},
	{head: words("show configuration"), help: "the revision in force, since when and by whose vote"},
	{head: words("show services"), help: "all services"},
	{head: words("show pools"), help: "all pools"},
	{head: words("show endpoints"), help: "all endpoints"},
	{head: words("show rules"), help: "all rules"},
	{head: words("show committee"), help: "the members and the chair"},
	{head: words("show proposals"), help: "the open proposals with their votes"},
	{head: words("show collisions"), help: "the proposals that wait for the chair"},
	{head: words("show log"), help: "the changes accepted last"},
	{head: words("show service SERVICE"), help: "one service, since when and by whose vote"},
	{head: words("show pool POOL"), help: "one pool, since when and by whose vote"},
	{head: words("show endpoint ENDPOINT"), help: "one endpoint, since when and by whose vote"},
	{head: words("show rule RULE"), help: "one rule, since when and by whose vote"},
	{head: words("show proposal PROPOSAL"), help: "one open proposal"},
	{head: words("where SERVICE from REGION"), help: "where a service's work goes now from a region"},
	{head: words("why ENDPOINT"), help: "why an endpoint gets work or none"},
	{head: words("time-line"), help: "the events of all entry hosts"},
	{head: words("time-line since DURATION"), help: "the events of the last while"},
	{head: words("outcome ID"), help: "what became of a command or a proposal"},
	{head: words("names"), help: "all names, for completion"},
	{head: words("help"), help: "all statements"},
	{head: words("help VERB"), help: "the statements that begin with a verb"},
}

// proposalForms create, vote on and close proposals.
var proposalForms = []Form{
	{head: words("propose CHANGE"), help: "propose changes, with commas between, to be accepted together; against REVISION names what you saw"},
	{head: words("vote yes|no on PROPOSAL"), help: "vote on an open proposal; a later vote replaces an earlier one"},
	{head: words("withdraw PROPOSAL"), help: "close a proposal of your own"},
	{head: words("rule for|against PROPOSAL"), help: "as the chair, settle a tie or a collision"},
}

func words(text string) []string { return strings.Fields(text) }

// Forms returns the forms that begin with verb, or all forms if verb is empty.
func Forms(verb string) []Form {
	var forms []Form
	for _, group := range [][]Form{queryForms, changeForms, proposalForms} {
		for _, form := range group {
			if verb == "" || form.head[0] == verb {
				forms = append(forms, form)
			}
		}
	}
	return forms
}
