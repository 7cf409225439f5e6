#include "LibForwarding/stream_resumption.h"

#include <algorithm>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// Endpoints to which connections are opened for one request.
constexpr size_t kMaxProbes = 2;
// An older view may lack the new start of an endpoint. While the platform is in
// reach, views of small fleets are at most this old.
constexpr core::Duration kMaxViewAge = core::milliseconds(300);

}  // namespace

StreamResumption::StreamResumption(ForwardContext* context,
                                   const ForwardRequest& request,
                                   EndpointChooser* chooser)
    : context_(context), request_(request), chooser_(chooser) {}

StreamKey StreamResumption::Key() const {
  return KeyOfStream(request_.organisation,
                     request_.first_attempt.value_or(request_.id));
}

void StreamResumption::FindOrigin(Callback callback) {
  callback_ = std::move(callback);
  if (!request_.first_attempt) {
    OnOriginFound(std::nullopt);
    return;
  }
  context_->stream_origins->Find(
      Key(), Now(),
      [weak = weak_from_this()](std::optional<StreamOrigin> origin) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnOriginFound(origin);
        }
      });
}

void StreamResumption::OnOriginFound(std::optional<StreamOrigin> origin) {
  if (origin) {
    Continue(*origin);
    return;
  }
  if (context_->origin_certainty.is_awaited() && !has_read_) {
    // The stream may be one of those whose origin a read tells.
    has_read_ = true;
    ReadRegistrations([this]() { FindOrigin(std::move(callback_)); });
    return;
  }
  ++context_->metrics->Counter("streams_of_unknown_origin");
  context_->origin_history.Observe(*context_->endpoints,
                                   context_->endpoint_view_age(), Now());
  ContinueAtOnlyOrigin(&StreamResumption::FindStoredOrigin);
}

void StreamResumption::ContinueAtOnlyOrigin(
    void (StreamResumption::*otherwise)()) {
  if (is_unconfirmed_ || !OnlyOrigin()) {
    (this->*otherwise)();
    return;
  }
  context_->origin_confirmation->Confirm(
      request_.received_at, Now(),
      [weak = weak_from_this(), otherwise](bool is_confirmed) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnConfirmed(is_confirmed, otherwise);
        }
      });
}

void StreamResumption::OnConfirmed(bool is_confirmed,
                                   void (StreamResumption::*otherwise)()) {
  ++context_->metrics->Counter(is_confirmed ? "origin_histories_confirmed"
                                            : "origin_histories_unconfirmed");
  is_unconfirmed_ = !is_confirmed;
  const auto only = OnlyOrigin();
  if (is_confirmed && only) {
    Continue(*only);
    return;
  }
  (this->*otherwise)();
}

void StreamResumption::FindStoredOrigin() {
  context_->stored_origins->Find(
      request_.first_attempt ? std::optional(Key()) : std::nullopt,
      request_.route->pools, Now(),
      [weak = weak_from_this()](std::optional<StreamOrigin> origin) {
        const auto self = weak.lock();
        if (self != nullptr && !self->is_cancelled_) {
          self->OnStoredOrigin(origin);
        }
      });
}

void StreamResumption::OnStoredOrigin(std::optional<StreamOrigin> origin) {
  const auto only = OnlyOrigin();
  context_->events->Record(
      core::EventCode::kOriginLookedUp, request_.id.value(),
      fmt::format("is_recorded={} has_one_version={} is_complete={} "
                  "endpoints_age_ms={} ms={}",
                  origin.has_value(), only.has_value(),
                  context_->origin_history.IsComplete(Now()),
                  core::ToMilliseconds(context_->endpoint_view_age()),
                  core::ToMilliseconds(Now() - request_.received_at)));
  ++context_->metrics->Counter(origin || only ? "stored_origins_found"
                                              : "stored_origins_missing");
  if (origin) {
    Continue(*origin);
    return;
  }
  ContinueAtOnlyOrigin(&StreamResumption::Refuse);
}

void StreamResumption::Continue(StreamOrigin origin) {
  ConfirmEndpoints(chooser_->OnlyDoubtful(origin, {}),
                   [this, origin]() { callback_(origin); });
}

void StreamResumption::AwaitEndpoint(const std::set<core::RunnerId>& tried,
                                     std::function<void()> then) {
  const std::optional<StreamOrigin> origin = chooser_->origin();
  if (!origin || request_.route->repeat != RepeatPolicy::kResumable) {
    then();
    return;
  }
  ConfirmEndpoints(chooser_->OnlyDoubtful(*origin, tried), std::move(then));
}

void StreamResumption::ConfirmEndpoints(
    const std::vector<core::SocketAddress>& doubtful,
    std::function<void()> then) {
  if (doubtful.empty()) {
    then();
    return;
  }
  ++context_->metrics->Counter("stream_endpoints_doubted");
  if (context_->path->is_lost()) {
    ReadRegistrations(std::move(then));
    return;
  }
  const size_t n = std::min(doubtful.size(), kMaxProbes);
  const auto left = std::make_shared<size_t>(n);
  const auto on_probed = [weak = weak_from_this(), left,
                          then = std::move(then)]() {
    const auto self = weak.lock();
    if (--*left == 0 && self != nullptr && !self->is_cancelled_) {
      self->ReadRegistrations(then);
    }
  };
  for (size_t i = 0; i < n; ++i) {
    context_->origin_prober->Probe(doubtful[i], on_probed);
  }
}

void StreamResumption::ReadRegistrations(std::function<void()> then) {
  context_->origin_confirmation->Confirm(
      Now(), Now(),
      [weak = weak_from_this(), then = std::move(then)](bool is_confirmed) {
        const auto self = weak.lock();
        if (self == nullptr || self->is_cancelled_) {
          return;
        }
        self->context_->events->Record(
            core::EventCode::kOriginLookedUp, self->request_.id.value(),
            fmt::format("endpoints may have started anew is_read={} ms={}",
                        is_confirmed,
                        core::ToMilliseconds(self->Now() -
                                             self->request_.received_at)));
        then();
      });
}

void StreamResumption::Refuse() {
  callback_(core::MakeStatus(core::ResultCode::kCannotResume,
                             "it is unknown where the stream began"));
}

std::optional<StreamOrigin> StreamResumption::OnlyOrigin() const {
  return context_->origin_history.OnlyOrigin(request_.route->pools, Now());
}

bool StreamResumption::ContinueAt(StreamOrigin origin) {
  if (!chooser_->ContinueAt(origin)) {
    return false;
  }
  has_begun_ = true;
  // The next process of this host may not find the stream in its previous
  // place.
  if (request_.first_attempt) {
    RecordOrigin(origin);
  }
  return true;
}

void StreamResumption::OnEvent(const Endpoint& endpoint) {
  if (has_begun_) {
    return;
  }
  has_begun_ = true;
  const bool is_resumable = request_.route->repeat == RepeatPolicy::kResumable;
  // A view that is kept current shows a new start soon, and the origins of
  // streams that begin just before all hosts are killed have to be recorded.
  const bool is_view_old = context_->endpoint_view_age() > kMaxViewAge;
  if (is_resumable && is_view_old && !chooser_->IsCertain(endpoint)) {
    RecordOriginLater(endpoint);
    return;
  }
  chooser_->ContinueAfter(endpoint);
  if (is_resumable) {
    context_->origin_history.RecordStream(endpoint, Now());
    RecordOrigin(OriginOf(endpoint));
  }
}

void StreamResumption::RecordOriginLater(const Endpoint& endpoint) {
  ++context_->metrics->Counter("streams_of_uncertain_origin");
  chooser_->ContinueNowhere();
  OriginCertainty& certainty = context_->origin_certainty;
  if (certainty.IsConnected(endpoint.address)) {
    // The caller may resume the stream after the end of this request.
    certainty.AfterRead(endpoint.address, Now(),
                        [weak = weak_from_this(), context = context_,
                         key = Key(), endpoint](bool has_broken) {
                          RecordLateOrigin(context, weak, key, endpoint,
                                           has_broken);
                        });
    return;
  }
  // Another host carries the request. While the stream goes on, it is the same
  // process that serves.
  context_->origin_confirmation->Confirm(
      Now(), Now(), [weak = weak_from_this(), endpoint](bool is_confirmed) {
        const auto self = weak.lock();
        if (is_confirmed && self != nullptr && !self->is_cancelled_ &&
            self->chooser_->IsCertain(endpoint)) {
          RecordLateOrigin(self->context_, weak, self->Key(), endpoint, false);
        }
      });
}

void StreamResumption::RecordLateOrigin(
    ForwardContext* context,
    const std::weak_ptr<StreamResumption>& request,
    StreamKey key,
    const Endpoint& endpoint,
    bool has_broken) {
  const Endpoint* begun_at = context->endpoints->Find(endpoint.id);
  const bool has_changed =
      begun_at != nullptr &&
      (begun_at->started_at_ms != endpoint.started_at_ms ||
       begun_at->software_version != endpoint.software_version);
  if (begun_at == nullptr || (has_broken && has_changed)) {
    return;
  }
  context->origin_history.RecordStream(*begun_at, context->loop->Now());
  RecordOrigin(context, key, begun_at->pool, OriginOf(*begun_at));
  const auto self = request.lock();
  if (self != nullptr && !self->is_cancelled_) {
    self->chooser_->ContinueAfter(*begun_at);
  }
}

void StreamResumption::RecordOrigin(StreamOrigin origin) {
  RecordOrigin(context_, Key(), chooser_->pool(), origin);
}

void StreamResumption::RecordOrigin(ForwardContext* context,
                                    StreamKey key,
                                    const core::PoolId& pool,
                                    StreamOrigin origin) {
  const core::TimePoint now = context->loop->Now();
  context->stream_origins->Record(key, origin, now);
  context->origin_reporter->OnStreamBegun(pool.Hash(), key, origin, now);
}

}  // namespace wasabi::forwarding
