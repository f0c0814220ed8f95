package ctl

import (
	"context"
	"flag"
	"net/http"
	"net/url"

	"amaranthplank.example/amaranthplank/pkg/config"
	"amaranthplank.example/amaranthplank/pkg/operator"
)

// statusFlags are the flags of status.
type statusFlags struct {
	client
	json     bool
	explain  string
	selector map[string]*string
}

// selectorFlags are the flags that select the scope of -explain.
var selectorFlags = []string{"workspace", "route", "model", "service", "failureDomain"}

// statusCommand shows a daemon's status, or explains one setting.
func statusCommand() Command {
	return Command{
		Name: "status", Summary: "show a daemon's view: revisions, members, orders, usage",
		Setup: func(flags *flag.FlagSet) Action {
			f := &statusFlags{selector: make(map[string]*string)}
			f.declare(flags)
			flags.BoolVar(&f.json, "json", false, "print as JSON")
			flags.StringVar(&f.explain, "explain", "", "print the value and the source of this setting, such as retry.maxAttempts")
			for _, name := range selectorFlags {
				f.selector[name] = flags.String(name, "", "with -explain, the "+name+" for which the setting is explained")
			}
			return f.run
		},
	}
}

// run prints the status or, with -explain, one setting's value and its source.
func (f *statusFlags) run(ctx context.Context, env Env, _ []string) ExitCode {
	if f.explain != "" {
		return f.runExplain(ctx, env)
	}
	var status operator.Status
	if err := f.call(ctx, env, http.MethodGet, operator.StatusPath, nil, &status); err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	if f.json {
		printJSON(env, status)
		return ExitOK
	}
	printStatus(env, &status)
	return ExitOK
}

// runExplain prints one setting's value and its source.
func (f *statusFlags) runExplain(ctx context.Context, env Env) ExitCode {
	query := url.Values{"setting": {f.explain}}
	for name, value := range f.selector {
		if *value != "" {
			query.Set(name, *value)
		}
	}
	var explained config.Explanation
	if err := f.call(ctx, env, http.MethodGet, operator.ExplainPath+"?"+query.Encode(), nil, &explained); err != nil {
		env.errorf("%v", err)
		return ExitFailed
	}
	if f.json {
		printJSON(env, explained)
		return ExitOK
	}
	env.printf("%s = %s (%s) from %s", explained.Setting, explained.Value, explained.Unit, explained.Origin)
	if explained.Exception != nil {
		env.printf("  default %s; reason: %s", explained.Default, explained.Exception.Reason)
	}
	return ExitOK
}

// printStatus prints the status as text.
func printStatus(env Env, status *operator.Status) {
	env.printf("host %s: serving %v, configuration %d, holds %d", status.Host, status.Serving, status.Revisions.Config, status.Revisions.Holds)
	env.printf("freshness: basis %s, %d fresh hosts, %d needed %s", status.Freshness.Basis, status.Freshness.FreshHosts, status.Freshness.Needed, status.Freshness.Reason)
	for _, member := range status.Members {
		env.printf("member %s (%s): %s, configuration %d, holds %d, last heartbeat %v ago", member.Host, member.FailureDomain, member.Status,
			member.Revisions.Config, member.Revisions.Holds, member.LastSeenAgo.D())
	}
	for _, hold := range status.Held {
		env.printf("target %s gets no new work: %s (duty %s, fencing %d)", hold.Target, hold.Reason, hold.Duty, hold.Fencing)
	}
	for _, order := range status.Orders {
		env.printf("order for %s by %s (fencing %d): %s, %s %s", order.Target, order.Holder, order.Fencing, order.Phase, order.Step, order.Why)
	}
	for _, shard := range status.Usage {
		env.printf("usage shard %d: window %d reported, until %s", shard.Shard, shard.Reported, shard.ReportedUntil)
	}
	for _, missing := range status.Missing {
		env.printf("%s can't be read: %s", missing.Part, missing.Reason)
	}
}
