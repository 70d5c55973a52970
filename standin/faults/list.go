package main

// fault is one change to the code that a test must notice.
type fault struct {
	name string
	file string
	old  string
	new  string
	pkg  string
	test string
}

var faults = []fault{
	{
		name: "replyFromAnotherSnapshot", file: "io/upstream/client.go",
		old: "if reply.Snapshot != attempt.Snapshot {", new: "if false {",
		pkg: "./io/upstream", test: "TestRepliesOfAnUpstream",
	},
	{
		name: "newestSnapshotRegardless", file: "core/snapshot.go",
		old: "if covered == asked.Size() {", new: "if covered >= 0 {",
		pkg: "./proof", test: "TestSnapshotsChangeWhileQueriesRun",
	},
	{
		name: "coverageByReplies", file: "core/collector.go",
		old: "part := NewRangeSet(ranges...).Intersect(NewRangeSet(reply.Covered...)).Intersect(c.asked)",
		new: "part := NewRangeSet(ranges...)",
		pkg: "./proof", test: "TestAllRepliesSpoiled",
	},
	{
		name: "mergeAfterClose", file: "core/collector.go",
		old: "if c.closed {", new: "if false {",
		pkg: "./core", test: "TestCollector",
	},
	{
		name: "unreadableRecordsVanish", file: "core/collector.go",
		old: "c.unread = append(c.unread, UnreadableRecord{Key: record.Key, SchemaVersion: record.SchemaVersion})", new: "",
		pkg: "./proof", test: "TestUnreadableSchemaVersions",
	},
	{
		name: "replyOfAnotherAttempt", file: "io/upstream/client.go",
		old: "if want != got {", new: "if false {",
		pkg: "./io/upstream", test: "TestRepliesOfAnUpstream",
	},
	{
		name: "connectionUsedAfterMismatch", file: "io/upstream/client.go",
		old: "		lanes.replace(lane)\n	}\n	return err\n}\n\nfunc reusable", new: "		lanes.put(lane)\n	}\n	return err\n}\n\nfunc reusable",
		pkg: "./io/upstream", test: "TestRepliesOfAnUpstream",
	},
	{
		name: "partlyRunCalledNotRun", file: "core/query.go",
		old: "	answer.Outcome = OutcomeUnknown\n	if q.mayHaveRun.Load() == 0 {", new: "	answer.Outcome = OutcomeUnknown\n	if true {",
		pkg: "./core", test: "TestQueries",
	},
	{
		name: "retryOfLostOrder", file: "core/orders.go",
		old: "the connection to the upstream broke; the order is not run again\"), true", new: "the connection to the upstream broke; the order is not run again\"), false",
		pkg: "./proof", test: "TestOrdersRunAtMostOnce",
	},
	{
		name: "ticketRunWhereItArrives", file: "core/orders.go",
		old: "	if err != nil {\n		return homeLost(request)\n	}\n	return answer\n}", new: "	if err != nil {\n		return o.execute(ctx, ticket, request)\n	}\n	return answer\n}",
		pkg: "./proof", test: "TestOrdersRunAtMostOnce",
	},
	{
		name: "ticketsNotHandedOver", file: "cli/entry.go",
		old: "	s.handOver()\n	limited", new: "	limited",
		pkg: "./proof", test: "TestTicketsOutliveAPlannedStop",
	},
	{
		name: "leavingUpstreamsRoutable", file: "core/replica.go",
		old: "return r.phase == PhaseLive && !r.unreachable()", new: "return r.phase != PhaseUnknown && !r.unreachable()",
		pkg: "./proof", test: "TestLeavingUpstreamGetsNoNewWork",
	},
	{
		name: "formerIncarnationBinds", file: "core/replica.go",
		old: "	if status.Incarnation < r.incarnation {\n		return false\n	}", new: "",
		pkg: "./core", test: "TestFleet",
	},
	{
		name: "pauseUnnoticed", file: "core/pause.go",
		old: "	renewal := g.tick(ctx, false)\n", new: "	var renewal <-chan struct{}\n",
		pkg: "./core", test: "TestPauseGuard",
	},
	{
		name: "noDrainAtAStop", file: "cli/entry.go",
		old: "	_ = i.clock.Sleep(context.Background(), i.settings.Drain)\n", new: "",
		pkg: "./proof", test: "TestRollingRestartOfInstances",
	},
	{
		name: "olderConfigurationTaken", file: "core/store.go",
		old: "if some && !candidate.Newer(current.Configuration) {", new: "if false {",
		pkg: "./proof", test: "TestConfigurationInForce",
	},
	{
		name: "firstOfTwoVersionsKept", file: "core/configuration.go",
		old: "return c.Digest > o.Digest", new: "return false",
		pkg: "./core", test: "TestStore",
	},
	{
		name: "peersNotTold", file: "core/peers.go",
		old: "			message.Configuration = inForce.Configuration.Raw\n", new: "",
		pkg: "./proof", test: "TestConfigurationInForce",
	},
	{
		name: "crashingRequestRetried", file: "core/query.go",
		old: "return !i.cleared && (i.losses > 0 || i.suspected)", new: "return false",
		pkg: "./proof", test: "TestCrashingRequestCostsABoundedNumberOfUpstreams",
	},
	{
		name: "wholeLimitForEach", file: "core/configuration.go",
		old: "return s.Connections / max(1, c.MaxInstances)", new: "return s.Connections",
		pkg: "./proof", test: "TestConnectionsStayWithinTheLimit",
	},
	{
		name: "everyInstanceReads", file: "core/peers.go",
		old: "return before < ReadersPerZone", new: "return true",
		pkg: "./proof", test: "TestPlatformReadsGrowWithZones",
	},
	{
		name: "callersGoneForgotten", file: "core/query.go",
		old: "	ctx, cancel := q.engine.Clock.WithDeadline(ctx, deadline)", new: "	ctx, cancel := q.engine.Clock.WithDeadline(context.WithoutCancel(ctx), deadline+Minute)",
		pkg: "./proof", test: "TestCallerThatGoesAway",
	},
}
