#include "LibForwarding/request_events.h"

#include <string>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

std::string_view NameOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kWithheld:
      return "withheld";
    case AttemptEnd::kNoPath:
      return "no_path";
    case AttemptEnd::kCut:
      return "cut";
    case AttemptEnd::kMalformedAnswer:
      return "improper";
    case AttemptEnd::kOversizedAnswer:
      return "oversized";
    case AttemptEnd::kSilent:
      return "silent";
  }
  return "unknown";
}

std::string_view NameOf(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kSuccess:
      return "success";
    case AttemptVerdict::kNotRun:
      return "not_run";
    case AttemptVerdict::kFailure:
      return "failure";
    case AttemptVerdict::kFinal:
      return "final";
    case AttemptVerdict::kInvalid:
      return "invalid";
  }
  return "unknown";
}

}  // namespace

void RecordFailedAttempt(const ForwardContext& context,
                         const ForwardRequest& request,
                         const ForwardAttempt& attempt,
                         const ResponseRelay& relay,
                         AttemptEnd end,
                         uint32_t sends) {
  if (end == AttemptEnd::kMalformedAnswer) {
    ++context.metrics->Counter("forward_malformed_answers");
  } else if (end == AttemptEnd::kOversizedAnswer) {
    ++context.metrics->Counter("forward_oversized_answers");
  }
  const core::TimePoint now = context.loop->Now();
  const Endpoint& endpoint = attempt.endpoint();
  context.events->Record(
      core::EventCode::kAttemptFailed, request.id.value(),
      fmt::format("endpoint={} software={} carrier={} {} "
                  "end={} status={} verdict={} framing={} "
                  "partial_event_bytes={} ms={} load={} failure_share={:.2f} "
                  "sends={} endpoints_age_ms={}",
                  endpoint.id.value(), endpoint.software_version,
                  attempt.carrier_name(), http::Describe(attempt.use()),
                  NameOf(end), relay.status(), NameOf(relay.verdict()),
                  relay.framing_name(), relay.partial_event_bytes(),
                  core::ToMilliseconds(now - attempt.started_at()),
                  context.loads->Load(endpoint.id),
                  context.monitor->FailureShare(endpoint.id, now), sends,
                  core::ToMilliseconds(context.endpoint_view_age())));
}

void RecordInterrupted(const ForwardContext& context,
                       const ForwardRequest& request,
                       const ResponseRelay& relay,
                       const ForwardAttempt* attempt,
                       core::TimePoint stop_began_at) {
  const core::TimePoint now = context.loop->Now();
  context.events->Record(
      core::EventCode::kRequestInterrupted, request.id.value(),
      fmt::format("endpoint={} status={} last_event={} taken_after_stop_ms={} "
                  "stop_ms={} due_ms={}",
                  attempt == nullptr ? "none" : attempt->endpoint().id.value(),
                  relay.status(), relay.last_event_id().value_or(0),
                  core::ToMilliseconds(request.received_at - stop_began_at),
                  core::ToMilliseconds(now - stop_began_at),
                  core::ToMilliseconds(request.AnswerDue() - now)));
  ++context.metrics->Counter("forward_interrupted");
}

void RecordRequestEnd(const ForwardContext& context,
                      const ForwardRequest& request,
                      const ResponseRelay& relay,
                      const RequestSummary& summary) {
  const core::TimePoint now = context.loop->Now();
  std::string endpoint = "none";
  std::string software = "none";
  std::string carrier = "none";
  http::ConnectionUse use;
  if (summary.attempt != nullptr) {
    endpoint = summary.attempt->endpoint().id.value();
    software = summary.attempt->endpoint().software_version;
    carrier = summary.attempt->carrier_name();
    use = summary.attempt->use();
  }
  context.events->Record(
      core::EventCode::kRequestEnded, request.id.value(),
      fmt::format(
          "outcome={} promise={} execution={} endpoint={} software={} "
          "carrier={} {} resumed={} prompt_source={} framing={} "
          "partial_event_bytes={} sends={} runs={} ms={} version={} "
          "endpoints_age_ms={}",
          summary.outcome, summary.is_promised_not_run ? "not_run" : "none",
          NameOf(summary.execution), endpoint, software, carrier,
          http::Describe(use), request.resume_after.has_value(),
          summary.prompt_source.empty() ? "none"
                                        : summary.prompt_source.value(),
          relay.framing_name(), relay.partial_event_bytes(), summary.sends,
          summary.runs, core::ToMilliseconds(now - request.received_at),
          request.table->version(),
          core::ToMilliseconds(context.endpoint_view_age())));
  ++context.metrics->Counter("forward_requests");
  context.metrics->Timing("forward_ms")
      .Add(core::ToSeconds(now - request.received_at) * 1000);
}

}  // namespace wasabi::forwarding
