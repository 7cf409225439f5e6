#include "Utilities/Timeline/timeline.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::timeline {

namespace {

using nlohmann::json;

constexpr double kNanosecondsPerMillisecond = 1e6;
constexpr double kNanosecondsPerMicrosecond = 1e3;

int64_t FirstWallTime(const std::vector<ProcessEvent>& events) {
  int64_t first = events.empty() ? 0 : events.front().event.wall_nanoseconds;
  for (const ProcessEvent& it : events) {
    first = std::min(first, it.event.wall_nanoseconds);
  }
  return first;
}

core::Event ParseEvent(const json& row) {
  core::Event event;
  event.sequence = row.value("sequence", uint64_t{0});
  event.lamport = row.value("lamport", uint64_t{0});
  event.wall_nanoseconds = row.value("wall_ns", int64_t{0});
  event.code = static_cast<core::EventCode>(row.value("code", 0));
  event.request_id = row.value("request_id", "");
  event.detail = row.value("detail", "");
  return event;
}

double MicrosecondsSince(int64_t first, const core::Event& event) {
  return static_cast<double>(event.wall_nanoseconds - first) /
         kNanosecondsPerMicrosecond;
}

json InstantEvent(const ProcessEvent& it, int process_number, int64_t first) {
  return {{"name", core::Describe(it.event.code).name},
          {"ph", "i"},
          {"s", "p"},
          {"ts", MicrosecondsSince(first, it.event)},
          {"pid", process_number},
          {"tid", 0},
          {"args",
           {{"request", it.event.request_id},
            {"detail", it.event.detail},
            {"lamport", it.event.lamport}}}};
}

}  // namespace

absl::StatusOr<std::vector<ProcessEvent>> ParseEvents(const std::string& body) {
  const json page = json::parse(body, nullptr, false);
  if (!page.is_object() || !page.contains("events") ||
      !page["events"].is_array()) {
    return core::MakeStatus(
        core::ResultCode::kMalformedMessage,
        "the response is not a JSON object with an \"events\" array");
  }
  const std::string process = page.value("process", "");
  std::vector<ProcessEvent> events;
  for (const json& row : page["events"]) {
    if (row.is_object()) {
      events.push_back({process, ParseEvent(row)});
    }
  }
  return events;
}

std::vector<ProcessEvent> Merge(std::vector<ProcessEvent> events) {
  std::sort(events.begin(), events.end(),
            [](const ProcessEvent& a, const ProcessEvent& b) {
              return std::tie(a.event.lamport, a.event.wall_nanoseconds,
                              a.process, a.event.sequence) <
                     std::tie(b.event.lamport, b.event.wall_nanoseconds,
                              b.process, b.event.sequence);
            });
  return events;
}

std::vector<ProcessEvent> FilterByRequest(
    const std::vector<ProcessEvent>& events,
    const std::string& request_id) {
  std::vector<ProcessEvent> selected;
  std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
               [&](const ProcessEvent& it) {
                 return it.event.request_id == request_id;
               });
  return selected;
}

std::string ToText(const std::vector<ProcessEvent>& events) {
  const int64_t first = FirstWallTime(events);
  std::string text;
  for (const ProcessEvent& it : events) {
    const double since_first =
        static_cast<double>(it.event.wall_nanoseconds - first) /
        kNanosecondsPerMillisecond;
    text += fmt::format("{:12.3f} ms  {:<20} {} {:<22} {} {}\n", since_first,
                        it.process, static_cast<int>(it.event.code),
                        core::Describe(it.event.code).name, it.event.request_id,
                        it.event.detail);
  }
  return text;
}

std::string ToTrace(const std::vector<ProcessEvent>& events) {
  struct Span {
    int64_t begin;
    int64_t end;
  };
  const int64_t first = FirstWallTime(events);
  std::map<std::string, int> process_numbers;
  std::map<std::pair<std::string, std::string>, Span> spans;
  json rows = json::array();
  for (const ProcessEvent& it : events) {
    const auto [number, is_new] = process_numbers.emplace(
        it.process, static_cast<int>(process_numbers.size()) + 1);
    if (is_new) {
      rows.push_back({{"name", "process_name"},
                      {"ph", "M"},
                      {"pid", number->second},
                      {"args", {{"name", it.process}}}});
    }
    rows.push_back(InstantEvent(it, number->second, first));
    if (it.event.request_id.empty()) {
      continue;
    }
    const int64_t time = it.event.wall_nanoseconds;
    const auto [span, is_first] = spans.emplace(
        std::make_pair(it.process, it.event.request_id), Span{time, time});
    if (!is_first) {
      span->second.begin = std::min(span->second.begin, time);
      span->second.end = std::max(span->second.end, time);
    }
  }
  for (const auto& [key, span] : spans) {
    rows.push_back({{"name", key.second},
                    {"ph", "X"},
                    {"ts", static_cast<double>(span.begin - first) /
                               kNanosecondsPerMicrosecond},
                    {"dur", static_cast<double>(span.end - span.begin) /
                                kNanosecondsPerMicrosecond},
                    {"pid", process_numbers.at(key.first)},
                    {"tid", 1}});
  }
  const json trace = {{"traceEvents", rows}};
  return trace.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace wasabi::timeline
