#include "LibForwarding/forward_attempt.h"

#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_notices.h"
#include "LibForwarding/request_fingerprint.h"

namespace wasabi::forwarding {

namespace {

// Time limit of a probe. A round trip to another data centre takes a few
// milliseconds at most.
constexpr core::Duration kProbeTimeout = core::milliseconds(300);
// Maximum number of hosts that are asked to carry one request.
constexpr size_t kMaxCarriers = 6;

}  // namespace

ForwardAttempt::ForwardAttempt(ForwardContext* context,
                               const ForwardRequest& request,
                               const Endpoint& endpoint)
    : context_(context), request_(request), endpoint_(endpoint) {}

ForwardAttempt::~ForwardAttempt() {
  Cancel();
}

void ForwardAttempt::Start(const AttemptOptions& options, Callbacks callbacks) {
  options_ = options;
  callbacks_ = std::move(callbacks);
  is_active_ = true;
  started_at_ = context_->loop->Now();
  last_progress_at_ = started_at_;
  context_->loads->Start(endpoint_.id);
  context_->service_times.Start(endpoint_.pool, started_at_);
  Send();
}

void ForwardAttempt::Send() {
  carrier_.reset();
  AttemptOptions options = options_;
  options.remaining -= context_->loop->Now() - started_at_;
  http::OriginRequest request =
      context_->endpoint_protocol->Encode(request_, endpoint_, options);
  if (context_->endpoints->IsEvacuated(endpoint_.data_centre)) {
    // The evacuation was read while another way to the endpoint was tried.
    context_->events->Record(
        core::EventCode::kSendWithheld, request_.id.value(),
        fmt::format("endpoint={} data_centre={}", endpoint_.id.value(),
                    endpoint_.data_centre.value()));
    PostFinish(AttemptEnd::kNotSent);
    return;
  }
  if (context_->path->is_lost() && !ChooseCarrier(&request)) {
    PostFinish(is_unavailable_ ? AttemptEnd::kNotSent : AttemptEnd::kNoPath);
    return;
  }
  const auto weak = weak_from_this();
  http::OriginCallbacks origin;
  origin.claim_of =
      [protocol = context_->endpoint_protocol](const http::MessageHead& head) {
        return protocol->ClaimIn(head);
      };
  origin.may_send =
      [weak, remaining = options.remaining](const http::ConnectionUse& use) {
        const auto self = weak.lock();
        return self != nullptr && self->BeginSend(use, remaining);
      };
  origin.on_skipped = [weak](const http::MessageHead& head) {
    if (const auto self = weak.lock()) {
      self->OnSkipped(head);
    }
  };
  origin.on_head = [weak](const http::AnswerHead& answer) {
    if (const auto self = weak.lock()) {
      self->OnAnswer(answer);
    }
  };
  origin.on_body = [weak](std::string_view piece) {
    if (const auto self = weak.lock()) {
      self->callbacks_.on_body(piece);
    }
  };
  origin.on_end = [weak](http::OriginOutcome end) {
    if (const auto self = weak.lock()) {
      self->OnCallEnd(end);
    }
  };
  call_ = context_->client->Send(request, std::move(origin));
}

bool ForwardAttempt::BeginSend(const http::ConnectionUse& use,
                               core::Duration remaining) {
  has_address_ = context_->endpoints->HasAddress(endpoint_);
  const bool may_send = has_address_ && callbacks_.may_send();
  context_->events->Record(
      may_send ? core::EventCode::kAttemptStarted
               : core::EventCode::kSendWithheld,
      request_.id.value(),
      fmt::format("endpoint={} address={} carrier={} {} remaining_ms={} "
                  "after_event={}",
                  endpoint_.id.value(), endpoint_.address.ToString(),
                  carrier_name(), http::Describe(use),
                  core::ToMilliseconds(remaining),
                  options_.resume_after.value_or(0)));
  if (use.sends_of_id > 1) {
    ++context_->metrics->Counter("forward_sends_again_on_connection");
  }
  return may_send;
}

void ForwardAttempt::OnSkipped(const http::MessageHead& head) {
  ++context_->metrics->Counter("forward_answers_skipped");
  const http::ResponseClaim claim = context_->endpoint_protocol->ClaimIn(head);
  context_->events->Record(
      core::EventCode::kAnswerMismatched, request_.id.value(),
      fmt::format("endpoint={} carrier={} {} status={} is_refusal={} ids={} "
                  "id_hash={:016x}",
                  endpoint_.id.value(), carrier_name(), http::Describe(use()),
                  head.status, claim.is_refusal, claim.ids.size(),
                  claim.ids.empty() ? 0 : core::StableHash(claim.ids.front())));
}

void ForwardAttempt::PostFinish(AttemptEnd end) {
  context_->loop->Post([weak = weak_from_this(), end]() {
    if (const auto self = weak.lock()) {
      self->Finish(end);
    }
  });
}

bool ForwardAttempt::ChooseCarrier(http::OriginRequest* request) {
  if (tried_carriers_.size() >= kMaxCarriers) {
    return false;
  }
  carrier_ = context_->carriers->Choose(tried_carriers_, context_->loop->Now());
  if (!carrier_) {
    return false;
  }
  tried_carriers_.insert(carrier_->host);
  request->tunnel = http::TunnelRoute{.carrier = carrier_->address,
                                      .endpoint_hash = endpoint_.id.Hash()};
  ++context_->metrics->Counter("forward_carried");
  return true;
}

void ForwardAttempt::Cancel() {
  if (!is_active_) {
    return;
  }
  Release();
  if (call_ != nullptr) {
    call_->Cancel();
  }
}

void ForwardAttempt::SetSilenceTimeout(core::Duration limit) {
  silence_timeout_ = limit;
  if (limit == core::Duration::zero()) {
    silence_timer_.reset();
    return;
  }
  if (silence_timer_ == nullptr) {
    silence_timer_ = context_->loop->NewTimer([weak = weak_from_this()]() {
      if (const auto self = weak.lock()) {
        self->OnSilenceTimeout();
      }
    });
  }
  silence_timer_->StartOnce(limit);
}

void ForwardAttempt::OnAnswer(const http::AnswerHead& answer) {
  last_progress_at_ = context_->loop->Now();
  if (!carrier_ && !call_->is_reused()) {
    context_->path->RecordConnected();
  }
  const AttemptVerdict verdict = context_->endpoint_protocol->Classify(answer);
  const auto notice = context_->endpoint_protocol->NoticeIn(answer);
  if (notice) {
    RecordNotice(context_, endpoint_, *notice,
                 verdict != AttemptVerdict::kInvalid, request_.id.value());
  } else if (verdict == AttemptVerdict::kNotRun) {
    RecordMisdirected(
        context_, endpoint_,
        fmt::format("carrier={} {}", carrier_name(), http::Describe(use())),
        request_.id.value());
  }
  const auto self = shared_from_this();
  callbacks_.on_head(verdict, answer.head());
}

void ForwardAttempt::RecordProgress() {
  last_progress_at_ = context_->loop->Now();
  has_probed_ = false;
}

void ForwardAttempt::Abandon(AttemptEnd end) {
  context_->monitor->RecordFailure(endpoint_.id, context_->loop->Now());
  call_->Cancel();
  Finish(end);
}

void ForwardAttempt::OnCallEnd(http::OriginOutcome end) {
  const core::TimePoint now = context_->loop->Now();
  switch (end) {
    case http::OriginOutcome::kComplete:
      if (callbacks_.is_whole()) {
        Finish(AttemptEnd::kAnswered);
      } else {
        if (!carrier_) {
          context_->origin_certainty.RecordBreak(endpoint_.address, now);
        }
        FinishCut();
      }
      return;
    case http::OriginOutcome::kNotSent:
      OnNotSent();
      return;
    case http::OriginOutcome::kCarrierUnavailable:
      context_->carriers->RecordUnavailable(carrier_->host, now);
      Send();
      return;
    case http::OriginOutcome::kEndpointUnavailable:
      is_unavailable_ = true;
      Send();
      return;
    case http::OriginOutcome::kWithheld:
      Finish(has_address_ ? AttemptEnd::kWithheld : AttemptEnd::kNotSent);
      return;
    case http::OriginOutcome::kCut:
      FinishCut();
      return;
    case http::OriginOutcome::kMalformed:
      context_->monitor->RecordFailure(endpoint_.id, now);
      Finish(AttemptEnd::kMalformedAnswer);
      return;
    case http::OriginOutcome::kOversized:
      context_->monitor->RecordFailure(endpoint_.id, now);
      Finish(AttemptEnd::kOversizedAnswer);
      return;
  }
}

void ForwardAttempt::OnNotSent() {
  const bool was_direct = !carrier_;
  RecordUnreachable();
  if (was_direct && context_->path->is_lost()) {
    // No byte was sent, so the request can take another way.
    Send();
    return;
  }
  Finish(AttemptEnd::kNotSent);
}

void ForwardAttempt::RecordUnreachable() {
  if (!carrier_) {
    context_->path->RecordFailure(endpoint_.id);
  }
  if (carrier_ || !context_->path->is_lost()) {
    context_->monitor->RecordUnreachable(endpoint_.id, context_->loop->Now());
  }
}

void ForwardAttempt::RecordFailure() {
  const bool is_broken_way = carrier_ || context_->path->is_lost();
  if (!is_broken_way) {
    context_->monitor->RecordFailure(endpoint_.id, context_->loop->Now());
  }
}

void ForwardAttempt::FinishCut() {
  RecordFailure();
  if (!carrier_) {
    context_->crashes->RecordBrokenConnection(endpoint_,
                                              FingerprintOf(request_));
  }
  Finish(AttemptEnd::kCut);
}

void ForwardAttempt::OnSilenceTimeout() {
  const core::Duration silence = context_->loop->Now() - last_progress_at_;
  if (silence < silence_timeout_) {
    silence_timer_->StartOnce(silence_timeout_ - silence);
    return;
  }
  if (!callbacks_.is_replaceable()) {
    silence_timer_->StartOnce(silence_timeout_);
    return;
  }
  if (has_probed_) {
    // The endpoint accepts connections, but no data arrives on this one.
    Finish(AttemptEnd::kSilent);
    return;
  }
  StartProbe();
}

void ForwardAttempt::StartProbe() {
  has_probed_ = true;
  if (carrier_) {
    // This host cannot probe the endpoint. A longer silence decides.
    OnProbeEnd(true);
    return;
  }
  auto probe = http::TcpStream::Connect(context_->loop, endpoint_.address);
  if (!probe.ok()) {
    OnProbeEnd(false);
    return;
  }
  probe_ = *std::move(probe);
  const auto weak = weak_from_this();
  const auto report = [weak](bool is_reachable) {
    if (const auto self = weak.lock()) {
      self->OnProbeEnd(is_reachable);
    }
  };
  probe_timer_ = context_->loop->NewTimer([report]() { report(false); });
  probe_timer_->StartOnce(kProbeTimeout);
  http::TcpStream::Callbacks callbacks;
  callbacks.on_connected = [report]() { report(true); };
  callbacks.on_data = [](std::string_view /*bytes*/) {};
  callbacks.on_end = [report](http::TcpStream::End /*end*/) { report(false); };
  probe_->Start(std::move(callbacks));
}

void ForwardAttempt::OnProbeEnd(bool is_reachable) {
  probe_timer_.reset();
  if (probe_ != nullptr) {
    probe_->Close();
    probe_.reset();
  }
  if (!is_active_) {
    return;
  }
  if (is_reachable && silence_timer_ != nullptr) {
    // The endpoint may just be slow, so it gets more time than a lost
    // connection.
    silence_timer_->StartOnce(silence_timeout_ * 2);
    return;
  }
  if (is_reachable) {
    return;
  }
  RecordUnreachable();
  Finish(AttemptEnd::kSilent);
}

void ForwardAttempt::Finish(AttemptEnd end) {
  if (!is_active_) {
    return;
  }
  const auto self = shared_from_this();
  Release();
  if (end == AttemptEnd::kSilent) {
    call_->Cancel();
  }
  const auto callbacks =
      std::make_shared<Callbacks>(std::exchange(callbacks_, {}));
  callbacks->on_end(end);
  // One of the callbacks may be running now.
  context_->loop->Post([callbacks]() {});
}

void ForwardAttempt::Release() {
  is_active_ = false;
  silence_timer_.reset();
  probe_timer_.reset();
  if (probe_ != nullptr) {
    probe_->Close();
    probe_.reset();
  }
  context_->loads->Finish(endpoint_.id);
  context_->places->OnFinished(endpoint_.id, context_->loop->Now());
  context_->service_times.Finish(endpoint_.pool, context_->loop->Now());
  context_->pool_slots->OnFinished(endpoint_.pool, context_->loop->Now());
}

}  // namespace wasabi::forwarding
