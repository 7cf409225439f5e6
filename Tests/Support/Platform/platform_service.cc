#include "Tests/Support/Platform/platform_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibPlatform/host_list_json.h"
#include "LibPlatform/log_json.h"

namespace wasabi::standin {

namespace {

using core::MakeStatus;
using core::ResultCode;
using nlohmann::json;
using platform::LogPage;
using platform::Offset;

constexpr int64_t kDefaultReadLimit = 1000;
constexpr int64_t kMaxReadLimit = 10000;
constexpr int64_t kMaxWaitMs = 60000;
constexpr core::Duration kRetryAfter = core::milliseconds(500);

// Returns the number in the query parameter `name`, or `fallback` if it is
// missing or malformed.
int64_t QueryNumber(const http::Request& request,
                    const std::string& name,
                    int64_t fallback) {
  const auto it = request.query.find(name);
  if (it == request.query.end()) {
    return fallback;
  }
  return core::ParseNumber<int64_t>(it->second).value_or(fallback);
}

// Returns true if `text` is valid UTF-8 and can thus be a JSON string.
bool IsUtf8(const std::string& text) {
  const std::string dumped =
      json(text).dump(-1, ' ', false, json::error_handler_t::ignore);
  const json parsed = json::parse(dumped, nullptr, /*allow_exceptions=*/false);
  return parsed.is_string() && parsed.get<std::string>() == text;
}

}  // namespace

// Maps a method and a path of the form `prefix` NAME `suffix` to a handler,
// which receives NAME.
struct PlatformService::Route {
  std::string_view method;
  std::string_view prefix;
  std::string_view suffix;
  // Whether the call fails during an injected outage.
  bool fails_in_outage;
  void (PlatformService::*handler)(const ExchangePtr&, const std::string&);

  std::optional<std::string> Match(const http::Request& request) const {
    const std::string_view path = request.path;
    const bool matches = request.method == method &&
                         path.size() >= prefix.size() + suffix.size() &&
                         path.starts_with(prefix) && path.ends_with(suffix);
    if (!matches) {
      return std::nullopt;
    }
    return std::string(path.substr(
        prefix.size(), path.size() - prefix.size() - suffix.size()));
  }
};

PlatformService::PlatformService(core::EventLoop* loop,
                                 const PlatformOptions& options)
    : loop_(loop),
      faults_(options.seed),
      log_(options.retention_records),
      append_limit_(options.append_rate),
      hosts_(options.host_list_lag),
      weights_(loop, options.weights) {}

void PlatformService::Handle(const ExchangePtr& exchange) {
  static constexpr Route kRoutes[] = {
      {"POST", "/v1/streams/", "/records", true, &PlatformService::Append},
      {"GET", "/v1/streams/", "/records", true, &PlatformService::Read},
      {"GET", "/v1/streams/", "", true, &PlatformService::Bounds},
      {"GET", "/v1/hosts", "", true, &PlatformService::ListHosts},
      {"PUT", "/v1/hosts/", "", false, &PlatformService::PutHost},
      {"DELETE", "/v1/hosts/", "", false, &PlatformService::RemoveHost},
      {"GET", "/v1/weights/", "", true, &PlatformService::DownloadWeights},
      {"POST", "/faults/forget/", "", false, &PlatformService::ForgetRecords},
      {"POST", "/faults/truncate/", "", false,
       &PlatformService::TruncateStream},
      {"POST", "/faults", "", false, &PlatformService::ChangeFaults},
      {"GET", "/executions", "", false, &PlatformService::ReportExecutions},
  };
  for (const Route& route : kRoutes) {
    const std::optional<std::string> name = route.Match(exchange->request());
    if (!name) {
      continue;
    }
    if (route.fails_in_outage && faults_.is_outage()) {
      Refuse(exchange, core::MakeRefusal(
                           ResultCode::kPlatformUnavailable,
                           "the platform is unavailable by an injected outage",
                           kRetryAfter));
      return;
    }
    (this->*route.handler)(exchange, *name);
    return;
  }
  Refuse(exchange, MakeStatus(ResultCode::kNoSuchResource,
                              "no handler for this method and path"));
}

void PlatformService::Append(const ExchangePtr& exchange,
                             const std::string& stream) {
  if (!append_limit_.Admit(loop_->Now())) {
    ++counts_.appends_refused;
    Refuse(exchange,
           core::MakeRefusal(ResultCode::kOrganisationLimit,
                             "the append rate is used up", kRetryAfter));
    return;
  }
  if (!IsUtf8(exchange->request().body)) {
    Refuse(exchange, MakeStatus(ResultCode::kMalformedRequest,
                                "the record is not valid UTF-8"));
    return;
  }
  const Offset offset = log_.Append(stream, exchange->request().body);
  ++counts_.appended;
  WakeReaders(stream);
  const AppendAnswer answer = faults_.NextAppendAnswer();
  if (answer == AppendAnswer::kSent) {
    Respond(exchange, 200, json({{"offset", offset}}).dump());
    return;
  }
  ++counts_.append_answers_lost;
  if (answer == AppendAnswer::kLostSilently) {
    silent_exchanges_.push_back(exchange);
    return;
  }
  // An exchange must not be aborted before its handler has returned.
  loop_->Post([exchange] { exchange->Abort(); });
}

void PlatformService::Read(const ExchangePtr& exchange,
                           const std::string& stream) {
  ++counts_.reads;
  const http::Request& request = exchange->request();
  const Offset from = QueryNumber(request, "from", 0);
  const int64_t limit = QueryNumber(request, "limit", kDefaultReadLimit);
  const int64_t wait_ms = QueryNumber(request, "wait_ms", 0);
  const auto count =
      static_cast<size_t>(std::clamp<int64_t>(limit, 1, kMaxReadLimit));
  if (AnswerRead(exchange, stream, from, count, wait_ms <= 0)) {
    return;
  }
  const core::Duration wait = core::milliseconds(std::min(wait_ms, kMaxWaitMs));
  WaitForRecords(exchange, stream, from, count, wait);
}

bool PlatformService::AnswerRead(const ExchangePtr& exchange,
                                 const std::string& stream,
                                 Offset from,
                                 size_t limit,
                                 bool is_last_chance) {
  const Offset stale_by = faults_.stale_records();
  const absl::StatusOr<LogPage> page = log_.Read(stream, from, limit, stale_by);
  if (!page.ok()) {
    const int status =
        core::Describe(ResultCode::kRecordsTruncated).http_status;
    Respond(exchange, status, LogBoundsToJson(log_.Bounds(stream, stale_by)));
    return true;
  }
  // A read beyond the end is answered immediately: the reader's offset is
  // wrong, so waiting can't help.
  const bool is_ahead = from > page->end;
  if (page->records.empty() && !is_ahead && !is_last_chance) {
    return false;
  }
  Respond(exchange, 200, LogPageToJson(*page));
  return true;
}

void PlatformService::WaitForRecords(const ExchangePtr& exchange,
                                     const std::string& stream,
                                     Offset from,
                                     size_t limit,
                                     core::Duration wait) {
  const auto it = waiting_reads_.insert(
      waiting_reads_.end(), {exchange, stream, from, limit, nullptr});
  it->timeout = loop_->NewTimer([this, it] {
    AnswerRead(it->exchange, it->stream, it->from, it->limit, true);
    waiting_reads_.erase(it);
  });
  it->timeout->StartOnce(wait);
}

void PlatformService::WakeReaders(const std::string& stream) {
  for (auto it = waiting_reads_.begin(); it != waiting_reads_.end();) {
    const bool is_done =
        it->stream == stream &&
        AnswerRead(it->exchange, stream, it->from, it->limit, false);
    it = is_done ? waiting_reads_.erase(it) : std::next(it);
  }
}

void PlatformService::Bounds(const ExchangePtr& exchange,
                             const std::string& stream) {
  ++counts_.reads;
  Respond(exchange, 200,
          LogBoundsToJson(log_.Bounds(stream, faults_.stale_records())));
}

void PlatformService::ListHosts(const ExchangePtr& exchange,
                                const std::string& /*rest*/) {
  const int64_t known = QueryNumber(exchange->request(), "known", 0);
  Respond(
      exchange, 200,
      HostListToJson(hosts_.Read(static_cast<uint64_t>(known), loop_->Now())));
}

void PlatformService::PutHost(const ExchangePtr& exchange,
                              const std::string& id) {
  const absl::StatusOr<platform::ListedHost> host =
      platform::HostFromJson(exchange->request().body);
  if (!host.ok()) {
    Refuse(exchange, host.status());
    return;
  }
  if (host->id != id) {
    Refuse(
        exchange,
        MakeStatus(ResultCode::kMalformedRequest,
                   "the host id in the body differs from the one in the path"));
    return;
  }
  hosts_.Put(*host, loop_->Now());
  Respond(exchange, 200, "{}");
}

void PlatformService::RemoveHost(const ExchangePtr& exchange,
                                 const std::string& id) {
  hosts_.Remove(id, loop_->Now());
  Respond(exchange, 200, "{}");
}

void PlatformService::DownloadWeights(const ExchangePtr& exchange,
                                      const std::string& /*name*/) {
  constexpr int64_t kDefaultBytes = 1 << 20;
  const int64_t bytes =
      QueryNumber(exchange->request(), "bytes", kDefaultBytes);
  weights_.Download(exchange,
                    static_cast<uint64_t>(std::max<int64_t>(bytes, 0)));
}

void PlatformService::ChangeFaults(const ExchangePtr& exchange,
                                   const std::string& /*rest*/) {
  const absl::Status status = faults_.Apply(exchange->request().body);
  if (!status.ok()) {
    Refuse(exchange, status);
    return;
  }
  exchange->Respond(200, {}, "{}");
}

void PlatformService::ForgetRecords(const ExchangePtr& exchange,
                                    const std::string& stream) {
  log_.TrimBefore(stream, QueryNumber(exchange->request(), "before", 0));
  exchange->Respond(200, {}, "{}");
}

void PlatformService::TruncateStream(const ExchangePtr& exchange,
                                     const std::string& stream) {
  log_.Truncate(stream, QueryNumber(exchange->request(), "end", 0));
  exchange->Respond(200, {}, "{}");
}

void PlatformService::ReportExecutions(const ExchangePtr& exchange,
                                       const std::string& /*rest*/) {
  const json report = {{"executions", json::array()},
                       {"appended", counts_.appended},
                       {"appends_refused", counts_.appends_refused},
                       {"append_answers_lost", counts_.append_answers_lost},
                       {"reads", counts_.reads}};
  exchange->Respond(200, {}, report.dump());
}

void PlatformService::Respond(const ExchangePtr& exchange,
                              int status,
                              std::string body,
                              http::Headers headers) {
  headers.Add("Content-Type", "application/json");
  if (faults_.answer_delay_ms() <= 0) {
    exchange->Respond(status, headers, std::move(body));
    return;
  }
  const auto it = delayed_answers_.insert(delayed_answers_.end(), nullptr);
  *it = loop_->NewTimer(
      [this, it, exchange, status, headers, body = std::move(body)] {
        exchange->Respond(status, headers, body);
        delayed_answers_.erase(it);
      });
  (*it)->StartOnce(core::milliseconds(faults_.answer_delay_ms()));
}

void PlatformService::Refuse(const ExchangePtr& exchange,
                             const absl::Status& status) {
  const core::ResultCodeEntry& entry = core::Describe(core::CodeOf(status));
  json error = {{"code", static_cast<int>(entry.code)},
                {"name", entry.name},
                {"message", core::MessageOf(status)}};
  http::Headers headers;
  headers.Add(std::string(http::kResultCodeHeader),
              fmt::to_string(static_cast<int>(entry.code)));
  if (const auto retry_after = core::RetryAfterOf(status)) {
    const int64_t wait_ms = core::ToMilliseconds(*retry_after);
    error["retry_after_ms"] = wait_ms;
    headers.Add(std::string(http::kRetryAfterMsHeader),
                fmt::to_string(wait_ms));
    headers.Add(std::string(http::kRetryAfterHeader),
                fmt::to_string((wait_ms + 999) / 1000));
  }
  Respond(exchange, entry.http_status, json({{"error", error}}).dump(),
          std::move(headers));
}

}  // namespace wasabi::standin
