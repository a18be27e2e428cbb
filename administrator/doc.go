// Package administrator is the operators' API: HTTPS and JSON on the control
// replicas, for operators who bear a key of role Operator.
//
//	GET    /v1/version               version in force, where, and who lags
//	GET    /v1/configuration         the configuration, or with ?Version=N an older one
//	GET    /v1/history               accepted patches, the newest first
//	GET    /v1/diff?From=A&To=B      values that differ between two versions
//	POST   /v1/patches               submit a PatchSubmission
//	GET    /v1/services              each service and how many upstreams are ready
//	GET    /v1/upstreams             every member
//	GET    /v1/transfers             the progress of weights on every instance
//	GET    /v1/report                what a report on service levels is computed from
//	GET    /v1/quarantine            requests that crashed upstreams
//	POST   /v1/quarantine            take fingerprints off the list
//	GET    /v1/replicas              the control replicas
//	POST   /v1/replicas/{Name}       admit a replacement of a lost replica
//	DELETE /v1/replicas/{Name}       remove a replica
//
// Reads are answered by the leader only, so that they are not stale. Errors are
// a JSON Problem with the status of their kind.
//
// # Usage
//
//	s := administrator.New(cfg, source, deps, logger)
//	err := s.Start()
//
//	c := administrator.NewClient(urls, source)
//	answer, err := administrator.Get[administrator.VersionView](ctx, c, "/v1/version")
package administrator
