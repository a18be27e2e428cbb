package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/generator"
	"celeryvalve/imitator"
)

// idleConnections bounds the connections that the callers keep to one entry.
const idleConnections = 1024

// authorization is the header that carries a caller's credential.
const authorization = "Authorization"

type loadCommand struct {
	Entry     []string      `help:"Base URL of an entry; may be repeated." placeholder:"URL"`
	Plan      string        `help:"Plan as a JSON file; without it the default mix." type:"existingfile" placeholder:"FILE"`
	PrintPlan bool          `help:"Print the plan and end."`
	Rate      float64       `help:"Mean requests a second, instead of the plan's."`
	Duration  time.Duration `help:"How long to send, instead of the plan's."`
	Seed      uint64        `help:"Seed of times and mix, instead of the plan's."`
	Token     string        `help:"Bearer token of every caller, unless the plan gives one." placeholder:"TOKEN"`
	Records   string        `help:"File to write each request's record to." type:"path" placeholder:"FILE"`
}

// Run sends the plan's requests and prints the summary as JSON.
func (c *loadCommand) Run(env *environment) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	out := json.NewEncoder(env.out)
	out.SetIndent("", "  ")
	if c.PrintPlan {
		return out.Encode(plan)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	load, err := generator.New(plan, c.Entry, &http.Client{Transport: transport}, env.clock)
	if err != nil {
		return err
	}
	records := load.Run(env.ctx)
	if c.Records != "" {
		data, err := json.Marshal(records)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Records, data, 0o644); err != nil {
			return err
		}
	}
	return out.Encode(generator.Summarise(plan, records))
}

// plan returns the plan of the file with what the flags change.
func (c *loadCommand) plan() (generator.Plan, error) {
	plan := generator.DefaultPlan()
	if c.Plan != "" {
		data, err := os.ReadFile(c.Plan)
		if err != nil {
			return plan, err
		}
		plan, err = generator.ParsePlan(data)
		if err != nil {
			return plan, err
		}
	}
	if c.Rate > 0 {
		plan.Rate = c.Rate
	}
	if c.Duration > 0 {
		plan.Duration = imitator.Duration(c.Duration)
	}
	if c.Seed > 0 {
		plan.Seed = c.Seed
	}
	for i := range plan.Callers {
		plan.Callers[i].Headers = withToken(plan.Callers[i].Headers, c.Token)
	}
	return plan, nil
}

// withToken adds the token to the headers where they have no credential.
func withToken(headers map[string]string, token string) map[string]string {
	if token == "" || headers[authorization] != "" {
		return headers
	}
	added := map[string]string{authorization: "Bearer " + token}
	maps.Copy(added, headers)
	return added
}

type checkCommand struct {
	Records string   `help:"File of records that standin load wrote." required:"" type:"existingfile" placeholder:"FILE"`
	Runs    []string `help:"Base URL of a stand-in whose runs count; may be repeated." required:"" placeholder:"URL"`
}

// Run prints every breach and fails if there is one.
func (c *checkCommand) Run(env *environment) error {
	data, err := os.ReadFile(c.Records)
	if err != nil {
		return err
	}
	var records []generator.Record
	if err := json.Unmarshal(data, &records); err != nil {
		return err
	}
	var runs []imitator.Run
	for _, base := range c.Runs {
		more, err := readRuns(env, base)
		if err != nil {
			return err
		}
		runs = append(runs, more...)
	}
	breaches := generator.Check(records, runs)
	for _, breach := range breaches {
		_, _ = fmt.Fprintln(env.out, breach)
	}
	if len(breaches) > 0 {
		return explainer.New(explainer.Conflict, fmt.Sprintf("%d breaches", len(breaches)),
			"read the logs of the entry and agent that handled these requests")
	}
	_, err = fmt.Fprintf(env.out, "%d requests and %d runs agree\n", len(records), len(runs))
	return err
}
