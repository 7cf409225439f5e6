#include "LibForwarding/stream_resumption.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::forwarding {

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
    callback_(*origin);
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
    callback_(*only);
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
    callback_(*origin);
    return;
  }
  ContinueAtOnlyOrigin(&StreamResumption::Refuse);
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
  chooser_->ContinueAfter(endpoint);
  if (request_.route->repeat == RepeatPolicy::kResumable) {
    context_->origin_history.RecordStream(endpoint, Now());
    RecordOrigin(OriginOf(endpoint));
  }
}

void StreamResumption::RecordOrigin(StreamOrigin origin) {
  context_->stream_origins->Record(Key(), origin, Now());
  context_->origin_reporter->OnStreamBegun(chooser_->pool().Hash(), Key(),
                                           origin, Now());
}

}  // namespace wasabi::forwarding
