#include "LibForwarding/endpoint_notices.h"

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

void RecordDeparture(ForwardContext* context,
                     const Endpoint& endpoint,
                     const std::string& request_id) {
  if (!context->endpoints->RecordDeparture(endpoint.id,
                                           endpoint.started_at_ms)) {
    return;
  }
  context->events->Record(
      core::EventCode::kRunnerLeaving, request_id,
      fmt::format("endpoint={} started_at_ms={} announced in an answer",
                  endpoint.id.value(), endpoint.started_at_ms));
}

void RecordPause(ForwardContext* context,
                 const Endpoint& endpoint,
                 core::Duration pause,
                 const std::string& request_id) {
  context->monitor->RecordPause(endpoint.id, context->loop->Now() + pause);
  context->events->Record(
      core::EventCode::kEndpointPaused, request_id,
      fmt::format("endpoint={} pause_ms={}", endpoint.id.value(),
                  core::ToMilliseconds(pause)));
}

void RecordLimit(ForwardContext* context,
                 const Endpoint& endpoint,
                 std::optional<double> per_second,
                 const std::string& request_id) {
  const bool was_limited = context->permits->HasAnnouncedLimit(endpoint.id);
  context->permits->RecordLimit(endpoint.id, per_second, context->loop->Now());
  if (was_limited != per_second.has_value()) {
    context->events->Record(
        core::EventCode::kEndpointLimited, request_id,
        fmt::format("endpoint={} max_per_second={}", endpoint.id.value(),
                    per_second ? fmt::format("{:.3f}", *per_second) : "none"));
  }
}

void RecordBrittle(ForwardContext* context,
                   const Endpoint& endpoint,
                   bool is_brittle,
                   const std::string& request_id) {
  const bool was_brittle = context->places->IsBrittle(endpoint);
  context->places->RecordBrittle(endpoint, is_brittle, context->loop->Now());
  if (was_brittle != is_brittle) {
    context->events->Record(
        core::EventCode::kEndpointBrittle, request_id,
        fmt::format("endpoint={} is_brittle={} slots={}", endpoint.id.value(),
                    is_brittle, endpoint.slots));
  }
}

void RecordLoad(ForwardContext* context,
                const Endpoint& endpoint,
                const std::optional<EndpointLoadNotice>& load) {
  if (load && load->machine_pace && context->paces != nullptr) {
    context->paces->RecordStated(endpoint.pool, endpoint.id,
                                 *load->machine_pace, context->loop->Now());
  }
}

}  // namespace

void RecordNotice(ForwardContext* context,
                  const Endpoint& endpoint,
                  const EndpointNotice& notice,
                  bool is_valid,
                  const std::string& request_id) {
  if (notice.is_leaving) {
    RecordDeparture(context, endpoint, request_id);
  }
  if (notice.pause > core::Duration::zero()) {
    RecordPause(context, endpoint, notice.pause, request_id);
  }
  if (is_valid) {
    RecordLimit(context, endpoint, notice.max_per_second, request_id);
    RecordBrittle(context, endpoint, notice.is_brittle, request_id);
    RecordLoad(context, endpoint, notice.load);
    context->cold_endpoints->RecordAnswer(endpoint, notice.cold_left,
                                          context->loop->Now());
  }
}

void RecordMisdirected(ForwardContext* context,
                       const Endpoint& endpoint,
                       std::string_view way,
                       const std::string& request_id) {
  ++context->metrics->Counter("forward_answers_of_other_endpoints");
  if (!context->endpoints->RecordMisdirected(
          endpoint.id, endpoint.started_at_ms, endpoint.address)) {
    return;
  }
  context->events->Record(
      core::EventCode::kEndpointMisdirected, request_id,
      fmt::format("endpoint={} address={} started_at_ms={} {}",
                  endpoint.id.value(), endpoint.address.ToString(),
                  endpoint.started_at_ms, way));
}

}  // namespace wasabi::forwarding
