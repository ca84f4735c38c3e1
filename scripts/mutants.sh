#!/usr/bin/env bash
# Mutation tests: disables one mechanism at a time in a copy of the tree and checks
# that the test of its invariant then fails. Exits 1 if such a test still passes, or if a
# mutant changes nothing or does not build.
# Usage: scripts/mutants.sh [PATTERN], where the pattern is a regular expression that
# selects mutants by name.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
survived=0
pattern=${1:-.}

# mutant NAME FILE SED_EXPRESSION PACKAGE TEST
mutant() {
  local name=$1 file=$2 expression=$3 package=$4 test=$5 shrink=()
  [[ $name =~ $pattern ]] || return 0
  grep -rqs rapid.Check "$package" && shrink=(-rapid.shrinktime=1s)
  rm -rf "$copy/tree"
  mkdir "$copy/tree"
  git ls-files -z cmd internal platform go.mod go.sum | xargs -0 cp --parents -t "$copy/tree"
  sed -i -E "$expression" "$copy/tree/$file"
  if cmp -s "$file" "$copy/tree/$file"; then
    echo "stale    $name: the expression changes nothing in $file"
    survived=1
  elif (cd "$copy/tree" && go vet "$package" >/dev/null 2>&1 && go test -count=1 -timeout 100s -run "$test" "$package" "${shrink[@]}" >"$copy/log" 2>&1); then
    echo "survived $name: $test still passes"
    survived=1
  elif grep -qE '^(--- FAIL|panic)|rapid\] failed' "$copy/log"; then
    echo "killed   $name: $(grep -aoE 'rapid\] failed after [0-9]+ tests: .*|_test.go:[0-9]+: .*' "$copy/log" | head -n 1 | cut -c1-110)"
  else
    echo "broken   $name: it does not build"
    survived=1
  fi
  : >"$copy/log"
}
touch "$copy/log"

proof=./internal/core/simulation
mutant "at most once: no check of the key's time" internal/core/idempotency/idempotency.go \
  's/if !table\.verifiable\(now, since, query\.KeyCreatedAt\)/if false \&\& !table.verifiable(now, since, query.KeyCreatedAt)/' $proof TestInvariantsUnderFaults
mutant "at most once: guarded requests are retried" internal/core/router/responses.go \
  's/if row\.nonIdempotent\(\) \|\| !router\.retries/if !router.retries/' $proof TestInvariantsUnderFaults
mutant "at most once: no key table" internal/core/admission/reservations.go \
  's/if reserve\.Key != \(message\.Digest\{\}\) && !controller\.admitKey/if false \&\& !controller.admitKey/' $proof TestInvariantsUnderFaults
mutant "at most once: a request is sent again without a response" internal/node/exchange/exchange.go \
  's/if !errors\.Is\(err, errStale\) \{/if errors.Is(err, ErrNotSent) {/' ./internal/node/upstream TestNothingIsSentTwice
mutant "true not-run: unknown requests are said not-run" internal/core/admission/reservations.go \
  's/controller\.send\(peer, message\.End\{ID: id, Outcome: message\.Unknown, Reason: message\.Lost\}\)/controller.replyRefused(now, peer, id, message.Lost)/' \
  ./internal/core/admission TestAttachAfterLoss
mutant "true not-run: a lost run is said not-run" internal/core/router/responses.go \
  's/row\.mayHaveRun = true/row.mayHaveRun = false/' $proof TestInvariantsUnderFaults
mutant "true not-run: old pushes run" internal/core/admission/reservations.go \
  's/now-reserve\.Echo > controller\.settings\.PushLease/false/' ./internal/core/admission TestLateMessagesDoNotRun
mutant "true not-run: grants need no live claim" internal/core/admission/reservations.go \
  's/\|\| now >= row\.deadline \{/{/' ./internal/core/admission TestLateMessagesDoNotRun
mutant "whole answers: a part met before is passed on again" internal/core/router/responses.go \
  's/if chunk\.Index < row\.nextChunk \{/if chunk.Index+1 < row.nextChunk {/' $proof TestInvariantsUnderFaults
mutant "whole answers: an end without all parts is complete" internal/core/router/responses.go \
  's/case finished && end\.Chunks != row\.nextChunk:/case false:/' ./internal/core/router TestEndWithMissingChunks
mutant "own answers: attempts share an ID" internal/core/router/requests.go \
  's/row\.attemptID = row\.request\.ID\.WithAttempt\(row\.attempts\)/row.attemptID = row.request.ID.WithAttempt(1)/' $proof TestInvariantsUnderFaults
mutant "configuration: an older version is taken" internal/config/distribution/distribution.go \
  's/parsed\.Version <= distributor\.document\.Version/false/' $proof TestInvariantsUnderFaults
mutant "configuration: entries do not pull from sidecars" internal/config/distribution/distribution.go \
  's/if version <= distributor\.document\.Version \{/if true {/' $proof TestConfigurationReachesAllProcesses
mutant "configuration: no grace for peers at boot" internal/core/router/router.go \
  's/if reported < bootstrapPeers && .*/if false {/' $proof TestStartingEntryDoesNotServeStaleVersion
mutant "order: no floor" internal/policy/tiered/tiered.go \
  's/if queue\.floorEvery > 0 && /if false \&\& /' ./internal/core/admission TestLowestClassRuns
mutant "order: no place of its own for a class" internal/policy/tiered/tiered.go \
  's/ \|\| queue\.classQueueFor\(item\.Tier, item\.Class\)\.count == 0//' ./internal/core/admission TestLowestClassRuns
mutant "order: a victim of any tier" internal/policy/tiered/tiered.go \
  's/if classQueue\.tier <= tier \|\| classQueue\.count < 2/if classQueue.count < 2/' ./internal/policy/tiered TestVictim
mutant "leaving: reservations at a leaving sidecar stay" internal/core/admission/reservations.go \
  's/case controller\.draining:/case false:/' $proof 'TestLeaving|TestDrain'
mutant "leaving: a signal changes nothing" internal/core/admission/dispatch.go \
  's/controller\.draining = true/controller.draining = false/' $proof TestLeavingUpstreamGetsNoNewWork
mutant "leaving: the list's word is not taken" internal/core/router/peers.go \
  's/peer\.leaving = peer\.leaving \|\| member\.Leaving/peer.leaving = peer.leaving/' $proof TestLeavingUpstreamGetsNoNewWork
mutant "leaving: an announcement changes nothing at the sidecar" internal/core/admission/upstream_requests.go \
  's/controller\.upstreamLeaving = true/controller.upstreamLeaving = false/' ./internal/core/admission TestLeavingUpstreamIsSentMore
mutant "backoff: a granted request is sent at the sidecar" internal/core/admission/reservations.go \
  's/reason == message\.Draining \|\| reason == message\.QueueFull/false/' ./internal/core/admission 'SentMore'
mutant "backoff: no trial at the sidecar" internal/core/admission/dispatch.go \
  's/ && !controller\.awaitsTrial\(now\)//' ./internal/core/admission TestUpstreamIsSentMoreInBackoff
mutant "leaving: silence is not noticed" internal/core/router/peers.go \
  's/now-peer\.heardAt > router\.settings\.HeartbeatTimeout/false/' $proof TestBlackholedConnectionIsReplaced
mutant "silence: streams move into queues" internal/core/router/silence.go \
  's/return candidate\.Outstanding\(\) < candidate\.Load\.Limit/return true/' $proof TestStreamsLeaveSilentSidecarForFullQueue
mutant "silence: it ends streams" internal/core/router/silence.go \
  's/return ok && peer\.silent/return ok \&\& false \&\& peer.silent/' $proof TestSilentSidecarsCutStreams
mutant "order: a full queue refuses higher tiers" internal/policy/tiered/tiered.go \
  's/if lowest == nil \{/if true {/' ./internal/core/admission TestHigherTierIsNeverShedForLower
mutant "dials: no growing delay" internal/core/router/peers.go \
  's/RedialDelay << \(peer\.dialFailures - 1\)/RedialDelay/' $proof TestRedialBackoff
mutant "drain: it does not wait for answers to arrive" internal/core/admission/dispatch.go \
  's/ \|\| controller\.hasUndelivered\(now\)//' $proof 'TestDrain'
mutant "crash blame: no refusal" internal/core/suspects/suspects.go \
  's/CrashLimit = 2/CrashLimit = 9/' $proof TestCrashingRequestIsStopped
mutant "limit: it does not shrink for late tokens" internal/policy/aimd/aimd.go \
  's/ \|\| aimd\.interToken\.missed > maxMissed:/:/' ./internal/policy/aimd TestLimitShrinks
mutant "limit: it grows until tokens are late" internal/policy/aimd/aimd.go \
  's/ && aimd\.interToken\.near < maxNear//; s/ \|\| aimd\.interToken\.missed > maxMissed:/ || aimd.interToken.missed > 0.3:/' \
  ./internal/policy/aimd TestLimitKeepsTheTarget
dispatch=./internal/core/dispatch
replay=./internal/core/replay
mutant "length: responses that would not end are started" internal/core/dispatch/pace.go \
  's/if row\.latencySensitive \{/if true {/' $replay TestLongResponsesUnderOverload
mutant "waiting: nothing is refused before its last moment" internal/core/dispatch/queue.go \
  's/if now < row\.sendBy\(\) \{/if true {/' $replay TestLongResponsesUnderOverload
mutant "waiting: urgent requests need a dedicated engine" internal/core/dispatch/queue.go \
  's/return !snapshot\.dedicated/return row.latencySensitive == snapshot.dedicated/; s/if row\.latencySensitive \{/if false {/' \
  $dispatch TestUrgentRequestWaitsWithoutDedicatedEngines
mutant "sensitivity: no class is latency-sensitive" internal/policy/sensitivity/sensitivity.go \
  's/stats\.sensitive = stats\.misses\(gap\).*/stats.sensitive = false/' $replay TestLongResponsesInBursts
mutant "drain: queued requests keep their deadline" internal/core/dispatch/queue.go \
  's/if dispatcher\.exitAt > 0 \{/if false {/' $dispatch TestDrainRefusesWhatItCannotFinish
mutant "silence: attempts are stopped without a place elsewhere" internal/core/dispatch/silence.go \
  's/if !found \|\| !dispatcher\.takeRetry\(now, &row\) \{/if !found \&\& place.upstream.Name == row.upstream {/' $dispatch TestCutStreamHasNowhereToGo
mutant "silence: an own pause counts" internal/core/dispatch/dispatch.go \
  's/watched -= late/watched -= 0/' $dispatch TestOwnPauseIsTakenForSilence
mutant "silence: streams that have begun stay at an upstream that is gone" internal/core/dispatch/silence.go \
  's/return upstream\.unreachable \|\| stalls/return stalls/' $dispatch TestDarkUpstreamIsLeft
mutant "stop: late requests are accepted" internal/core/dispatch/drain.go \
  's/return row\.arrived >= dispatcher\.releasedAt \|\| /return /' ./platform TestAnswerIsCutByExit
mutant "stop: connections without a request stay open" internal/node/httpserver/httpserver.go \
  's/state == http\.StateNew \{/false \&\& state == http.StateNew {/' ./platform TestUnusedConnectionHoldsUpStop
mutant "retries: a response delivered in part is requested again" internal/core/dispatch/requests.go \
  's/if row\.delivered && !row\.request\.Class\.Streamed \{/if false {/' $dispatch TestPartlyDeliveredResponse
mutant "leaving: an announcement ends with the next row" internal/core/membership/announced.go \
  's/return announcement\.made && .*/return false/' $dispatch TestAnnouncedLeavingIsForgotten
mutant "leaving: an announcement is about all later processes" internal/core/membership/announced.go \
  's/return announcement\.made && .*/return announcement.made/' $dispatch TestAnnouncedLeavingIsForgotten
mutant "leaving: an attempt that was placed is sent" internal/node/direct/departures.go \
  's/commands\.withdrawn = commands\.withdrawn \|\|/commands.withdrawn = false \&\&/' ./internal/node/direct TestWithdrawnAttemptIsSent
mutant "backoff: the choice ignores it" internal/core/dispatch/backoffs.go \
  's/return !backoff\.active \|\| now >= backoff\.until.*/return true/' $dispatch TestRequestsInBackoff
mutant "backoff: no trial" internal/core/dispatch/backoffs.go \
  's/ && \(backoff\.trialAt == 0 .*/ || false/' $dispatch TestRequestsInBackoff
mutant "backoff: a later response shortens it" internal/core/dispatch/backoffs.go \
  's/ \|\| before\.active && until <= before\.until//' $dispatch TestShorterBackoffDoesNotShorten
mutant "backoff: callers are not told its end" internal/core/dispatch/backoffs.go \
  's/return end - now \+ /return /' $dispatch TestRequestsInBackoff
mutant "bounds: informational responses without end" internal/node/exchange/response_head.go \
  's/range responsehead\.MaxInformational \+ 1/range 1 << 40/' ./internal/node/exchange TestEndlessHead
mutant "bounds: a comment counts as an event" internal/node/eventstream/eventstream.go \
  's/if HasData\(data\) \{/if true {/' ./internal/node/eventstream TestEndlessStream
cause=internal/core/crashcause
mutant "Count repeated crashes of one upstream" $cause/candidate.go \
  's/return len\(crashed\)/return len(candidate.unexplained)/' ./$cause TestBlame
mutant "Believe crashes before survivals are known" $cause/candidate.go \
  's/return survivalReportTime/return 0/' ./$cause TestSharedPartIsBlamedOnceConfirmed
mutant "Each interruption behind the first second is a crash" $cause/review.go \
  's/latest\[row\.upstream\] = row\.at/if _, known := latest[row.upstream]; !known || row.at-latest[row.upstream] >= MinRestartTime { latest[row.upstream] = row.at }/' \
  ./$cause TestBlame
mutant "Try a blamed part: never" $cause/trials.go \
  's/next := cause\.latest \+ trialDelay/next := cause.latest + maxTrialGap/' $dispatch TestBlamedPartIsTried
mutant "Try a blamed part: as often as one likes" $cause/trials.go \
  's/next = max\(next, row\.at\+gap\)//' ./$cause TestTrialsOfCrashingPart
mutant "Try a blamed part: at all processes at once" $cause/trials.go \
  's/next = max\(next, trial\.at\+maxTrialTime\)//' ./$cause TestTrialsOfCrashingPart
mutant "reset: idle connections are kept" internal/node/exchange/idle.go \
  's/if errors\.Is\(err, syscall\.ECONNRESET\)/if false \&\& errors.Is(err, syscall.ECONNRESET)/' ./internal/node/exchange TestResetCostsOneRequest
mutant "Ask which builds serve: old answers count" internal/core/dispatch/stream_origins.go \
  's/!answered \|\| answer\.stamp < row\.arrived/!answered/' $dispatch TestStreamsAreTakenUpAtEntryOutOfStep
mutant "Ask which builds serve: an old list counts without connections" internal/core/dispatch/stream_origins.go \
  's/ && dispatcher\.listConfirmedAt > dispatcher\.connectedAt//' $dispatch TestStreamsAreTakenUpAtEntryOutOfStep
mutant "Read the list anew: an old read counts" internal/core/freshread/freshread.go \
  's/return reads\.answeredFor > 0 \&\& reads\.answeredFor >= event/return true/' $dispatch TestStreamsAreTakenUpAtEntryOutOfStep
mutant "Read the list anew: no read" internal/core/dispatch/stream_origins.go \
  's/if !needed \|\| now < due/if needed || now < due/' $dispatch TestStreamsAreTakenUpElsewhere
mutant "endless responses: the core is not waited for" internal/node/backpressure/backpressure.go \
  's/pressure\.unhandled\+bytes > maxUnhandledBytes/false/' ./internal/node/backpressure TestReaderWaitsForCore
mutant "endless responses: all may take any memory" internal/node/answerset/answerset.go \
  's/for set\.max > 0/for false/' ./internal/node/answerset TestEndlessResponseIsCut
mutant "endless responses: the log's lines have any length" internal/node/logqueue/logqueue.go \
  's/len\(line\) <= maxLineBytes/true/' ./internal/node/logqueue TestLongLinesAreBounded
mutant "many parts: the cache model keeps all" internal/policy/prefixcache/prefixcache.go \
  's/ \|\| cache\.recency\.Len\(\) > maxParts//' ./internal/policy/prefixcache TestPartsAreBounded
mutant "Streams of a large fleet are not backed up" internal/core/dispatch/stream_backups.go \
  's/dispatcher\.mesh\.KnownCount\(\) > largeFleet/false/' $dispatch TestStreamsAreTakenUpElsewhere
mutant "Streams of one build are not told" internal/core/dispatch/dispatch.go \
  's/origins\.TellAll\(.*/origins.TellAll(false)/' $dispatch TestStreamsAreTakenUpElsewhere
mutant "Split: the pool of a stream is drawn at random" internal/core/dispatch/requests.go \
  's/split\.DrawFor\(request\.Stream\)/split.Draw(dispatcher.settings.Random)/' $dispatch TestStreamsAreTakenUpElsewhere
mutant "Split: a pool that served the class before is forgotten" internal/core/classpools/classpools.go \
  's/len\(former\) == 0 \&\& stream != 0/stream != 0/' ./internal/core/classpools TestCandidates
mutant "stop: late requests are taken until the exit" internal/core/dispatch/drain.go \
  's/dispatcher\.exitAt-lastAnswers \{/dispatcher.exitAt {/' ./platform TestLateRequestsOfStopAreCut
mutant "A name is a process: breaks are ignored" internal/core/dispatch/restarts.go \
  's/row\.brokeAt == 0 \|\| dispatcher/row.brokeAt >= 0 || dispatcher/' $dispatch TestStreamsGoOnAtNameWithOtherBuild
mutant "A name is a process: peers are not told of restarts" internal/core/dispatch/inputs.go \
  's/dispatcher\.restarts = dispatcher\.restarts\.With\(now, upstream\)//' $dispatch TestEntryCutOffFromStoreHearsOfRestarts
mutant "A name is a process: the first list after an outage counts" internal/core/membership/membership.go \
  's/return !membership\.storeUnreachable \&\& \(.*/return true/' $dispatch TestStreamsGoOnAtNameWithOtherBuild
mutant "evacuation: peers are not told" internal/core/dispatch/peers.go \
  's/dispatcher\.handlePeerEvacuations\(now, heartbeat\.Evacuations\)//' $dispatch TestEvacuationIsInForce
mutant "evacuation: an entry that was paused sends at once" internal/core/dispatch/evacuations.go \
  's/if late >= evacuationPause/if false/' $dispatch TestEvacuationIsInForce
mutant "evacuation: what a restored store lacks is over" internal/core/evacuation/evacuation.go \
  's/restoreGrace = 2200 \* time\.Millisecond/restoreGrace = time.Duration(0)/' ./internal/core/evacuation TestState
mutant "evacuation: a placed attempt is sent" internal/node/direct/evacuations.go \
  's/withdrawn \|\| commands\.domain == domain/withdrawn \&\& commands.domain == domain/' ./internal/node/direct TestAttemptToEvacuatedDomain
mutant "evacuation: an attempt placed before a pause is sent" internal/node/direct/evacuations.go \
  's/return uptime-attempt.*/return false/' ./internal/node/direct TestAttemptToEvacuatedDomain
mutant "cold: each entry takes the whole budget" internal/policy/coldrate/coldrate.go \
  's/rate\.Budget\(\) \/ count$/rate.Budget()/' ./internal/policy/coldrate TestProcessesKeepToTheBoundTogether
mutant "cold: an entry that has just started sends at once" internal/policy/coldrate/coldrate.go \
  's/if place\.Unsettled \{/if false {/' ./internal/policy/coldrate TestNewProcessWaits
mutant "cold: the dispatcher ignores the rate" internal/core/dispatch/cold.go \
  's/return next <= now$/return true/' $dispatch TestOnlyColdUpstreams
mutant "cold: an item from before a break clears it" internal/core/coldstart/coldstart.go \
  's/ && row\.doubt\.latestAt <= proven//' ./internal/core/coldstart TestEvidence
mutant "cold: a new connection is opened where the idle ones were closed" internal/node/exchange/exchange.go \
  's/if closed && request\.SameProcess/if closed \&\& false/' ./internal/node/exchange TestClosedIdleConnection
mutant "untrusted callers: header sections and bodies are not charged" internal/node/guard/guard.go \
  's/callers = \(settings\.MemoryBytes - processBytes\).*/callers = 0/' ./internal/node/guard TestBudget
mutant "untrusted callers: no reserve of descriptors" internal/node/guard/guard.go \
  's/case group\.maxOpen <= 0 \|\| count < group\.maxOpen:/case true:/' ./internal/node/guard TestDescriptors
mutant "speeds: all engines count as equal" internal/policy/enginespeed/enginespeed.go \
  's/minRatio = 1\.35/minRatio = 1000/' ./internal/policy/enginespeed TestSpeedsOfMixedPool
mutant "speeds: an engine at a bound changes the order" internal/policy/dedicated/ranking.go \
  's/bandMargin = 1\.08/bandMargin = 1.0/' ./internal/policy/dedicated TestRankIsStable
mutant "even load: the choice is even at any cost" internal/policy/evenload/evenload.go \
  's/if candidates\[i\]\.Cost >= level \{/if false {/' ./internal/policy/evenload TestShares
mutant "broken responses: the end of a connection always completes a body" internal/node/exchange/answer_body.go \
  's/if result\.err == nil \{/if true {/' ./internal/node/exchange TestResetDuringUpload
mutant "broken responses: the head is read as by net/http" internal/node/exchange/response_head.go \
  's/if err := responsehead\.CheckStatus\(response\); err != nil/if err := responsehead.CheckStatus(response); false \&\& err != nil/' ./platform TestBrokenHeadsAreNoResponse
mutant "broken responses: unknown informational statuses are skipped" internal/wire/responsehead/responsehead.go \
  's/if !known\[response\.StatusCode\]/if false/' ./internal/wire/responsehead TestStatuses
mutant "broken responses: informational responses may have a body" internal/wire/responsehead/responsehead.go \
  's/; length != "" .*len\(response\.TransferEncoding\) > 0 \{/; length == "-" {/' ./internal/wire/responsehead TestInformationalBodies
mutant "broken responses: the lines of a head are not checked" internal/node/exchange/response_head.go \
  's/if err := connection\.checkLines\(\); err != nil/if err := connection.checkLines(); false \&\& err != nil/' ./internal/node/exchange TestMalformedHeadCostsItsConnection
mutant "broken responses: a trailer may have any names" internal/node/exchange/answer_body.go \
  's/malformed != nil \{/false \&\& malformed != nil {/' ./platform TestBrokenTrailersAreNoResponse
mutant "broken responses: a line may begin with a blank" internal/wire/responsehead/fields.go \
  's/bytes\.Cut\(line, /bytes.Cut(bytes.TrimLeft(line, " "), /' ./internal/wire/responsehead TestNames
mutant "broken responses: a request takes all retries" internal/core/router/responses.go \
  's/ \|\| row\.malformed >= maxMalformed//' ./internal/core/router TestMalformedResponsesEndRequest
exit $survived
