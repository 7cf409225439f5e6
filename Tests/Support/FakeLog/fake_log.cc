#include "Tests/Support/FakeLog/fake_log.h"

#include <iterator>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::testing {

namespace {

using core::MakeStatus;
using core::ResultCode;
using platform::LogPage;
using platform::Offset;

// Time after which the sender of an append stops waiting for the answer.
constexpr core::Duration kAppendTimeout = core::seconds(2);
constexpr size_t kPageRecords = 100;

absl::Status Outage() {
  return core::MakeRefusal(ResultCode::kPlatformUnavailable,
                           "log service is unavailable by an injected outage",
                           core::milliseconds(500));
}

}  // namespace

FakeLog::FakeLog(VirtualScheduler* network,
                 uint64_t seed,
                 size_t retention_records)
    : network_(network), random_(seed), store_(retention_records) {}

void FakeLog::WakeReaders(const std::string& stream) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const bool is_done = it->stream == stream && it->try_answer(false);
    it = is_done ? waiting_.erase(it) : std::next(it);
  }
}

core::Duration FakeLog::NetworkDelay() {
  constexpr uint64_t kMaxDelayUs = 3000;
  return core::microseconds(500 + random_.Below(kMaxDelayUs));
}

bool FakeLog::DrawWithProbability(double probability) {
  return random_.Unit() < probability;
}

FakeLogClient::FakeLogClient(FakeLog* log, platform::Scheduler* host)
    : log_(log), host_(host) {}

template <typename Callback, typename Result>
void FakeLogClient::Answer(const Callback& callback, const Result& result) {
  host_->CallAfter(log_->NetworkDelay(),
                   [callback, result] { callback(result); });
}

void FakeLogClient::Append(const std::string& stream,
                           std::string body,
                           AppendCallback callback) {
  const FakeLogFaults& faults = log_->faults_;
  const auto arrive = [this, stream,
                       body = std::move(body)](const AppendCallback& answer) {
    AppendAtLog(stream, body, answer);
  };
  const bool is_lost = log_->DrawWithProbability(faults.lose_request);
  const bool is_late = log_->DrawWithProbability(faults.delay_request);
  const bool is_unanswered = log_->DrawWithProbability(faults.lose_answer);
  if (is_lost || is_late || is_unanswered) {
    const AppendCallback on_timeout = callback;
    host_->CallAfter(kAppendTimeout, [on_timeout] {
      on_timeout(MakeStatus(ResultCode::kAppendUncertain,
                            "append timed out without an answer"));
    });
    callback = [](const absl::StatusOr<Offset>&) {};
  }
  if (is_lost) {
    return;
  }
  const core::Duration delay =
      log_->NetworkDelay() +
      (is_late ? kAppendTimeout * 2 : kAppendTimeout * 0);
  log_->network_->CallAfter(delay, [arrive, callback] { arrive(callback); });
}

void FakeLogClient::AppendAtLog(const std::string& stream,
                                const std::string& body,
                                const AppendCallback& callback) {
  if (log_->faults_.is_outage) {
    Answer(callback, absl::StatusOr<Offset>(Outage()));
    return;
  }
  ++log_->appends_;
  const Offset offset = log_->store_.Append(stream, body);
  Answer(callback, absl::StatusOr<Offset>(offset));
  log_->WakeReaders(stream);
}

void FakeLogClient::Read(const std::string& stream,
                         Offset from,
                         core::Duration wait,
                         ReadCallback callback) {
  log_->network_->CallAfter(
      log_->NetworkDelay(),
      [this, stream, from, wait, callback = std::move(callback)] {
        ReadAtLog(stream, from, wait, callback);
      });
}

void FakeLogClient::ReadAtLog(const std::string& stream,
                              Offset from,
                              core::Duration wait,
                              const ReadCallback& callback) {
  ++log_->reads_;
  const auto is_answered = std::make_shared<bool>(false);
  const auto try_answer = [this, stream, from, callback,
                           is_answered](bool is_last_chance) {
    if (*is_answered) {
      return true;
    }
    absl::StatusOr<LogPage> page = log_->store_.Read(
        stream, from, kPageRecords, log_->faults_.stale_records);
    if (log_->faults_.is_outage) {
      page = Outage();
    }
    const bool is_due = is_last_chance || !page.ok() ||
                        !page->records.empty() || page->end < from;
    if (is_due) {
      *is_answered = true;
      Answer(callback, page);
    }
    return is_due;
  };
  if (try_answer(false)) {
    return;
  }
  log_->waiting_.push_back({stream, try_answer});
  log_->network_->CallAfter(wait, [try_answer] { try_answer(true); });
}

void FakeLogClient::Bounds(const std::string& stream, ReadCallback callback) {
  log_->network_->CallAfter(
      log_->NetworkDelay(), [this, stream, callback = std::move(callback)] {
        ++log_->reads_;
        if (log_->faults_.is_outage) {
          Answer(callback, absl::StatusOr<LogPage>(Outage()));
          return;
        }
        Answer(callback, absl::StatusOr<LogPage>(log_->store_.Bounds(
                             stream, log_->faults_.stale_records)));
      });
}

}  // namespace wasabi::testing
