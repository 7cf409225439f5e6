#include "Tests/Soak/caller.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/text.h"
#include "Tests/Soak/operator.h"
#include "Tests/Soak/piecewise_call.h"
#include "platform/wire_names.h"

namespace wasabi::soak {

namespace {

constexpr size_t kDataCentres = 2;
// Timeout of an address lookup and of a connection attempt.
constexpr core::Duration kResolveTimeout = core::seconds(1);
constexpr core::Duration kResolveRetryDelay = core::milliseconds(200);
// One in this many callers keeps addresses for this many times their lifetime.
constexpr size_t kStaleAddressFactor = 3;
constexpr double kMaxLifetimeSeconds = 5;
// One in this many callers keeps one host until its process is gone. These send
// more long streams.
constexpr size_t kClingingFactor = 4;
constexpr double kClingingLongShare = 0.5;
// Share of the bodies that are large, and their size.
constexpr double kLargeBodyShare = 0.3;
constexpr size_t kLargeBodyBytes = 12'000;
// Share of the bodies that are very large, where callers send such, and their
// size, which exceeds what the kernels of both sides hold.
constexpr double kVeryLargeBodyShare = 0.08;
constexpr size_t kVeryLargeBodyBytes = 3'900'000;
// Share of the bodies that come in pieces.
constexpr double kPiecewiseShare = 0.3;
// Share of the calls whose caller disconnects early, and the maximum delay
// before it does so.
constexpr double kDisconnectShare = 0.06;
constexpr double kMaxDisconnectSeconds = 0.3;
constexpr core::Duration kMaxIdle = core::seconds(10);
constexpr int kMaxPrompts = 12;
// Share of the streams that get a harmful prompt part, while there is one.
constexpr double kHarmfulShare = 0.15;
// Number of times that a caller takes up a stream.
constexpr size_t kMaxTakeUps = 4;
// Pause before a stream is taken up again, so that some attempts come after all
// hosts were killed and are back.
constexpr core::Duration kTakeUpPause = core::milliseconds(700);

struct KindTraits {
  const char* path;
  const char* method;
  core::Duration deadline;
  bool is_stream;
};

const KindTraits& TraitsOf(CallKind kind) {
  static const std::array<KindTraits, static_cast<size_t>(CallKind::kCount)>
      kTraits = {{
          {"/safe/", "GET", core::milliseconds(1500), false},
          {"/unsafe/", "POST", core::milliseconds(1500), false},
          {"/stream/", "POST", core::milliseconds(6000), true},
          {"/once/", "POST", core::milliseconds(6000), true},
          {"/long/", "POST", core::milliseconds(12000), true},
          {"/moving/", "POST", core::milliseconds(1500), false},
          {"/safe/", "GET", core::milliseconds(1500), false},
          {"/safe/", "GET", core::milliseconds(1500), false},
      }};
  return kTraits.at(static_cast<size_t>(kind));
}

// Returns the id of the last whole event that the caller has of the stream; 0
// if it has none.
uint64_t LastEventIn(const Call& call) {
  constexpr std::string_view kIdField = "id: ";
  const size_t end = call.answer.rfind("\n\n");
  const size_t start =
      end == std::string::npos ? end : call.answer.rfind(kIdField, end);
  if (start == std::string::npos) {
    return call.resume_after;
  }
  const size_t digits = start + kIdField.size();
  const std::string_view text =
      std::string_view(call.answer)
          .substr(digits, call.answer.find('\n', digits) - digits);
  return core::ParseNumber<uint64_t>(text).value_or(call.resume_after);
}

std::string KeyOf(const Call& call) {
  switch (call.kind) {
    case CallKind::kReplacedKey:
      return ReplacedKeyOf(call.key_version);
    case CallKind::kUnknownKey:
      return "never-given";
    default:
      return "key-1";
  }
}

}  // namespace

struct Caller::Exchange {
  std::shared_ptr<Call> call;
  std::shared_ptr<http::OriginCall> origin;
  std::unique_ptr<core::Timer> disconnect_timer;
};

Caller::Caller(core::EventLoop* loop,
               const std::vector<HostAddresses>* hosts,
               History* history,
               size_t number,
               uint64_t seed)
    : loop_(loop),
      hosts_(hosts),
      history_(history),
      number_(number),
      random_(seed),
      client_(loop),
      clings_(number % kClingingFactor == kClingingFactor - 1) {}

void Caller::Poll() {
  const core::TimePoint now = loop_->Now();
  client_.Expire(now);
  if (now >= resolve_at_) {
    ResolveAddresses();
  }
}

void Caller::ResolveAddresses() {
  resolve_at_ = loop_->Now() + kResolveTimeout;
  if (resolve_call_ != nullptr) {
    resolve_call_->Cancel();
  }
  http::OriginRequest request;
  request.address = (*hosts_)[random_.Below(hosts_->size())].discovery;
  request.method = "GET";
  request.target = fmt::format("/resolve?name=soak.test&region=r&zone=z{}",
                               number_ % kDataCentres);
  request.headers = {{"Host", "soak.test"}};
  const auto body = std::make_shared<std::string>();
  http::OriginCallbacks callbacks;
  callbacks.on_body = [body](std::string_view piece) { body->append(piece); };
  callbacks.on_head = [](const http::AnswerHead& /*head*/) {};
  callbacks.on_end = [this, body](http::OriginOutcome end) {
    resolve_call_.reset();
    if (end == http::OriginOutcome::kComplete) {
      OnAddresses(*body);
    } else {
      resolve_at_ = loop_->Now() + kResolveRetryDelay;
    }
  };
  resolve_call_ = client_.Send(request, std::move(callbacks));
}

void Caller::OnAddresses(const std::string& body) {
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
  if (!answer.is_object() || !answer.contains("addresses")) {
    resolve_at_ = loop_->Now() + kResolveRetryDelay;
    return;
  }
  known_hosts_.clear();
  for (size_t i = 0; i < hosts_->size(); ++i) {
    const auto& addresses = answer["addresses"];
    if (std::find(addresses.begin(), addresses.end(),
                  (*hosts_)[i].callers.ToString()) != addresses.end()) {
      known_hosts_.push_back(i);
    }
  }
  if (clings_ && !known_hosts_.empty()) {
    known_hosts_ = {known_hosts_[random_.Below(known_hosts_.size())]};
    resolve_at_ = core::TimePoint::max();
    return;
  }
  double lifetime = std::min(answer.value("ttl_s", 1.0), kMaxLifetimeSeconds);
  lifetime *= number_ % kStaleAddressFactor == 0 ? kStaleAddressFactor : 1;
  resolve_at_ = loop_->Now() + core::FromSeconds(lifetime);
}

std::shared_ptr<Call> Caller::NewCall(int64_t newest_version) {
  auto call = std::make_shared<Call>();
  call->id = core::RequestId(fmt::format("{:x}", random_.Next()));
  call->kind = static_cast<CallKind>(
      random_.Below(static_cast<size_t>(CallKind::kCount)));
  call->host = known_hosts_[random_.Below(known_hosts_.size())];
  if (clings_ && random_.Unit() < kClingingLongShare) {
    call->kind = CallKind::kLongStream;
  }
  const KindTraits& traits = TraitsOf(call->kind);
  call->method = traits.method;
  call->target = fmt::format("{}x%2Fy/{}?b=2&a=%41&a=", traits.path, number_);
  call->body = call->method == "POST" ? "body of " + call->id.value() : "";
  if (!call->body.empty() && random_.Unit() < kLargeBodyShare) {
    call->body.resize(kLargeBodyBytes, 'b');
  }
  call->is_piecewise = !call->body.empty() && random_.Unit() < kPiecewiseShare;
  if (sends_large_ && !call->body.empty() && !traits.is_stream &&
      random_.Unit() < kVeryLargeBodyShare) {
    call->body.resize(kVeryLargeBodyBytes, 'b');
    call->is_piecewise = false;
  }
  call->key_version = newest_version;
  call->deadline = traits.deadline;
  call->sent_at = loop_->Now();
  if (traits.is_stream && random_.Unit() < kHarmfulShare) {
    call->harmful_part = harmful_part_;
  }
  return call;
}

std::string Caller::PromptOf(const Call& call) {
  const uint64_t prompt = 16 + call.id.Hash() % kMaxPrompts;
  if (call.harmful_part.empty()) {
    return fmt::format("1:500,{:x}:2000,{}:100", prompt, call.id.value());
  }
  // The harmful part stands behind or in front of those that harmless requests
  // have too.
  return prompt % 2 == 0
             ? fmt::format("1:500,{}:90,{}:100", call.harmful_part,
                           call.id.value())
             : fmt::format("{}:90,1:500,{:x}:2000,{}:100", call.harmful_part,
                           prompt, call.id.value());
}

http::OriginRequest Caller::RequestOf(const Call& call) const {
  http::OriginRequest request;
  request.address = (*hosts_)[call.host].callers;
  request.method = call.method;
  request.target = call.target;
  request.body = call.body;
  request.max_idle = kMaxIdle;
  request.connect_timeout = kResolveTimeout;
  request.headers = {
      {"Host", "soak.test"},
      {std::string(adapter::kRequestIdHeader), call.id.value()},
      {std::string(adapter::kDeadlineHeader),
       std::to_string(core::ToMilliseconds(call.deadline))},
      {std::string(adapter::kAuthorizationHeader), "Bearer " + KeyOf(call)},
      // Forged headers, which hosts must not forward.
      {std::string(adapter::kOrganisationHeader), "forged"},
      {"Kv-From", "127.0.0.1:9/1"},
      {"Cache-Hold", "1"}};
  if (TraitsOf(call.kind).is_stream) {
    request.headers.Add(std::string(adapter::kPromptPartsHeader),
                        PromptOf(call));
    request.headers.Add(std::string(adapter::kTokenLimitsHeader), "2600,120");
    request.headers.Add("Model", "m");
  }
  if (call.first_attempt) {
    request.headers.Add(std::string(adapter::kFirstAttemptHeader),
                        call.first_attempt->value());
    request.headers.Add(std::string(adapter::kLastEventIdHeader),
                        std::to_string(call.resume_after));
  }
  return request;
}

void Caller::SendRequest(int64_t newest_version) {
  if (!known_hosts_.empty()) {
    Send(NewCall(newest_version));
  }
}

void Caller::Send(const std::shared_ptr<Call>& call) {
  history_->calls.push_back(call);
  const auto exchange = std::make_shared<Exchange>();
  exchange->call = call;
  http::OriginCallbacks callbacks;
  callbacks.on_head = [call](const http::AnswerHead& head) {
    call->status = head.status();
    call->signature = head.headers().Get(adapter::kSignatureHeader);
  };
  callbacks.on_body = [call](std::string_view piece) {
    call->answer.append(piece);
  };
  callbacks.on_end = [this, exchange](http::OriginOutcome end) {
    OnEnd(exchange, end);
  };
  if (call->is_piecewise) {
    exchange->origin = PiecewiseCall::Send(
        loop_, RequestOf(*call), std::move(callbacks),
        [loop = loop_, call]() { call->whole_at = loop->Now(); });
  } else {
    call->whole_at = call->sent_at;
    exchange->origin = client_.Send(RequestOf(*call), std::move(callbacks));
  }
  const bool disconnects_early = random_.Unit() < kDisconnectShare;
  const std::weak_ptr<Exchange> weak = exchange;
  exchange->disconnect_timer = loop_->NewTimer([this, weak]() {
    if (const auto it = weak.lock()) {
      Leave(it);
    }
  });
  exchange->disconnect_timer->StartOnce(
      disconnects_early
          ? core::FromSeconds(kMaxDisconnectSeconds * random_.Unit())
          : call->deadline);
}

void Caller::OnEnd(const ExchangePointer& exchange, http::OriginOutcome end) {
  exchange->call->end = end;
  exchange->call->ended_at = loop_->Now();
  exchange->disconnect_timer.reset();
  exchange->origin.reset();
  const Call& call = *exchange->call;
  if (clings_ && end == http::OriginOutcome::kNotSent) {
    resolve_at_ = std::min(resolve_at_, loop_->Now());
  }
  if (call.kind == CallKind::kResumableStream &&
      end != http::OriginOutcome::kComplete && LastEventIn(call) > 0) {
    if (!call.first_attempt) {
      TakeUp(exchange->call);
      return;
    }
    const auto it = pauses_.emplace(pauses_.end());
    *it = loop_->NewTimer([this, it, failed = exchange->call]() {
      // The timer owns this function.
      const std::unique_ptr<core::Timer> timer = std::move(*it);
      pauses_.erase(it);
      TakeUp(failed);
    });
    (*it)->StartOnce(kTakeUpPause);
  }
}

void Caller::TakeUp(const std::shared_ptr<Call>& failed) {
  const Call& call = *failed;
  const core::Duration left = call.sent_at + call.deadline - loop_->Now();
  if (known_hosts_.empty() || left <= core::Duration::zero() ||
      call.take_ups >= kMaxTakeUps) {
    return;
  }
  auto next = std::make_shared<Call>();
  next->id = core::RequestId(fmt::format("{:x}", random_.Next()));
  next->kind = call.kind;
  next->host = known_hosts_[random_.Below(known_hosts_.size())];
  next->method = call.method;
  next->target = call.target;
  next->body = call.body;
  next->harmful_part = call.harmful_part;
  next->key_version = call.key_version;
  next->deadline = left;
  next->first_attempt = call.first_attempt.value_or(call.id);
  next->resume_after = LastEventIn(call);
  next->take_ups = call.take_ups + 1;
  next->sent_at = loop_->Now();
  Send(next);
}

void Caller::Leave(const ExchangePointer& exchange) {
  exchange->call->disconnected_at = loop_->Now();
  exchange->origin->Cancel();
  exchange->disconnect_timer.reset();
}

}  // namespace wasabi::soak
