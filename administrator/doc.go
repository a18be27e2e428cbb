// Package administrator implements the operators' API and its client. Each control
// replica serves the API as JSON over HTTPS. A request needs a client certificate
// with the role Operator.
//
//	GET    /v1/version               the current version and the processes that lag behind
//	GET    /v1/configuration         the configuration, or with ?Version=N an older one
//	GET    /v1/history               accepted patches, newest first
//	GET    /v1/diff?From=A&To=B      values that differ between two versions
//	POST   /v1/patches               submit a PatchSubmission
//	GET    /v1/services              the services and how many of their upstreams are ready
//	GET    /v1/upstreams             all upstreams that are members
//	GET    /v1/transfers             the progress of weight transfers on every instance
//	GET    /v1/report                the data from which a service-level report is computed
//	GET    /v1/quarantine            requests suspected of having crashed upstreams
//	POST   /v1/quarantine            remove fingerprints from the quarantine
//	GET    /v1/replicas              the control replicas, admitted and waiting
//	POST   /v1/replicas/{Name}       admit a waiting replica in place of a lost one
//	DELETE /v1/replicas/{Name}       remove a replica
//
// Only the leader answers reads, after a barrier, so that they are not stale. The
// other replicas answer them with an error of kind Unavailable, and Client then
// tries the next replica. An error is a Problem in JSON, with the HTTP status that
// belongs to its kind.
//
// # Usage
//
//	s := administrator.New(cfg, source, deps, logger)
//	err := s.Start()
//
//	c := administrator.NewClient(urls, source)
//	answer, err := administrator.Get[administrator.VersionView](ctx, c, "/v1/version")
package administrator
