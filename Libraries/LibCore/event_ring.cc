#include "LibCore/event_ring.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/log.h"

namespace wasabi::core {

namespace {

int64_t WallNanoseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch)
      .count();
}

}  // namespace

EventRing::EventRing(std::string process_name, size_t capacity)
    : process_name_(std::move(process_name)), capacity_(capacity) {}

void EventRing::Record(EventCode code,
                       std::string_view request_id,
                       std::string_view detail) {
  Event event;
  event.sequence = next_sequence_++;
  event.lamport = ++lamport_;
  event.wall_nanoseconds = WallNanoseconds();
  event.code = code;
  event.request_id = std::string(request_id);
  event.detail = std::string(detail);
  WriteLog(process_name_, event);
  events_.push_back(std::move(event));
  if (events_.size() > capacity_) {
    events_.pop_front();
  }
}

void EventRing::ObserveIncoming(uint64_t lamport) {
  lamport_ = std::max(lamport_, lamport) + 1;
}

std::vector<Event> EventRing::Since(uint64_t from) const {
  const auto it = std::lower_bound(
      events_.begin(), events_.end(), from,
      [](const Event& event, uint64_t it) { return event.sequence < it; });
  return {it, events_.end()};
}

std::string EventsToJson(std::string_view process_name,
                         const std::vector<Event>& events) {
  nlohmann::json rows = nlohmann::json::array();
  for (const Event& event : events) {
    rows.push_back({{"sequence", event.sequence},
                    {"lamport", event.lamport},
                    {"wall_ns", event.wall_nanoseconds},
                    {"code", static_cast<int>(event.code)},
                    {"name", Describe(event.code).name},
                    {"request_id", event.request_id},
                    {"detail", event.detail}});
  }
  const nlohmann::json page = {{"process", process_name}, {"events", rows}};
  return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace wasabi::core
