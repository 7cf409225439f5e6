#include "LibForwarding/response_relay.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::forwarding {

namespace {

// Larger answers are relayed as they arrive, smaller ones once they are
// complete.
constexpr size_t kMaxBufferedBytes = 256U << 10U;
// Reading from the endpoint pauses while a slow caller has at least this many
// unsent bytes.
constexpr size_t kMaxUnsentBytes = 256U << 10U;
// Maximum number of bytes between two events of a stream.
constexpr size_t kMaxEventBytes = 256U << 10U;

size_t BytesOf(const http::Headers& headers) {
  size_t bytes = 0;
  for (const http::Headers::Field& field : headers.fields()) {
    bytes += field.first.capacity() + field.second.capacity();
  }
  return bytes;
}

// Returns the Content-Type of an answer in lower case and without parameters;
// "" if there is none.
std::string MediaTypeOf(const http::MessageHead& head) {
  const std::string type = head.headers.Get("Content-Type");
  return core::ToLower(core::Trim(type.substr(0, type.find(';'))));
}

}  // namespace

ResponseRelay::ResponseRelay(ForwardContext* context,
                             const ForwardRequest& request,
                             std::shared_ptr<http::Transaction> transaction,
                             std::function<void()> on_event)
    : context_(context),
      request_(request),
      transaction_(std::move(transaction)),
      on_event_(std::move(on_event)),
      held_(context->buffer_memory),
      last_event_id_(request.resume_after) {
  RecordHeldBytes();
}

void ResponseRelay::Expect(std::shared_ptr<ForwardAttempt> attempt) {
  attempt_ = std::move(attempt);
  verdict_ = AttemptVerdict::kInvalid;
  head_ = http::MessageHead();
  head_bytes_ = 0;
  body_ = {};
  lacks_event_ = lacks_event_ || !splitter_.remainder().empty();
  splitter_ = EventSplitter(last_event_id_);
  last_event_at_.reset();
}

ForwardAttempt::Callbacks ResponseRelay::AttemptCallbacks() {
  const auto weak = weak_from_this();
  ForwardAttempt::Callbacks callbacks;
  callbacks.on_head = [weak](AttemptVerdict verdict,
                             const http::MessageHead& head) {
    if (const auto self = weak.lock()) {
      self->OnHead(verdict, head);
    }
  };
  callbacks.on_body = [weak](std::string_view piece) {
    if (const auto self = weak.lock()) {
      self->OnBody(piece);
    }
  };
  callbacks.is_whole = [weak]() {
    const auto self = weak.lock();
    return self == nullptr || self->IsWhole();
  };
  return callbacks;
}

void ResponseRelay::OnHead(AttemptVerdict verdict,
                           const http::MessageHead& head) {
  const bool continues = !transaction_->is_started() || Continues(head);
  verdict_ = verdict == AttemptVerdict::kSuccess && !continues
                 ? AttemptVerdict::kInvalid
                 : verdict;
  head_ = head;
  head_bytes_ = BytesOf(head.headers);
  RecordHeldBytes();
  if (verdict_ == AttemptVerdict::kInvalid) {
    // The endpoint may still work on the request. It stops when the connection
    // is closed.
    attempt_->Abandon(AttemptEnd::kMalformedAnswer);
  }
}

bool ResponseRelay::Continues(const http::MessageHead& head) const {
  const std::string media_type = MediaTypeOf(head);
  return head.status == begun_status_ &&
         (media_type.empty() || begun_media_type_.empty() ||
          media_type == begun_media_type_);
}

std::string_view ResponseRelay::framing_name() const {
  return head_.status == 0 ? "none" : http::NameOf(head_.framing());
}

void ResponseRelay::RecordHeldBytes() {
  held_.Set(request_.body.capacity() + body_.capacity() +
            splitter_.remainder().size() + head_bytes_);
}

void ResponseRelay::OnBody(std::string_view piece) {
  RelayBody(piece);
  RecordHeldBytes();
}

void ResponseRelay::RelayBody(std::string_view piece) {
  if (verdict_ == AttemptVerdict::kSuccess && IsStream()) {
    RelayEvents(piece);
    return;
  }
  attempt_->RecordProgress();
  if (verdict_ == AttemptVerdict::kSuccess && transaction_->is_started()) {
    transaction_->Write(piece);
    ApplyBackPressure();
    return;
  }
  body_.append(piece);
  if (body_.size() <= held_.Limit(kMaxBufferedBytes)) {
    return;
  }
  if (verdict_ == AttemptVerdict::kSuccess) {
    Begin();
    transaction_->Write(std::exchange(body_, {}));
    return;
  }
  // A refusal is stated by its head alone.
  attempt_->Abandon(verdict_ == AttemptVerdict::kNotRun
                        ? AttemptEnd::kAnswered
                        : AttemptEnd::kOversizedAnswer);
}

void ResponseRelay::RelayEvents(std::string_view piece) {
  const std::string events = splitter_.Add(piece);
  if (!events.empty()) {
    RelayWholeEvents(events);
  }
  if (!splitter_.is_valid()) {
    attempt_->Abandon(AttemptEnd::kMalformedAnswer);
  } else if (splitter_.bytes_without_event() > held_.Limit(kMaxEventBytes)) {
    attempt_->Abandon(AttemptEnd::kOversizedAnswer);
  }
}

void ResponseRelay::RelayWholeEvents(const std::string& events) {
  if (!transaction_->is_started()) {
    Begin();
    context_->metrics->Timing("forward_first_event_ms")
        .Add(core::ToSeconds(Now() - request_.received_at) * 1000);
  }
  transaction_->Write(events);
  // Bytes that are no event are no progress.
  if (splitter_.last_event_id() != last_event_id_) {
    last_event_id_ = splitter_.last_event_id();
    lacks_event_ = false;
    RecordGap();
    attempt_->RecordProgress();
    on_event_();
  }
  ApplyBackPressure();
}

void ResponseRelay::RecordGap() {
  const core::PoolId& pool = attempt_->endpoint().pool;
  if (!context_->UsesPace(pool)) {
    return;
  }
  // The first event has no gap. A gap during which this host did not read says
  // nothing of the endpoint.
  if (last_event_at_ && !is_paused_) {
    context_->paces->RecordGap(
        pool, attempt_->endpoint().id, Now() - *last_event_at_,
        context_->loads->Load(attempt_->endpoint().id), Now());
  }
  last_event_at_ = Now();
}

void ResponseRelay::Begin() {
  const bool keeps_length = !IsStream();
  begun_status_ = head_.status;
  begun_media_type_ = MediaTypeOf(head_);
  transaction_->StartStream(
      head_.status,
      context_->caller_protocol->FilterResponseHeaders(head_.headers),
      keeps_length ? head_.content_length : std::nullopt);
}

void ResponseRelay::ApplyBackPressure() {
  if (is_paused_ || attempt_ == nullptr ||
      transaction_->unsent_bytes() < held_.Limit(kMaxUnsentBytes)) {
    return;
  }
  is_paused_ = true;
  attempt_->SetSilenceTimeout(core::Duration::zero());
  attempt_->SetReading(false);
  transaction_->OnDrained([weak = weak_from_this()]() {
    const auto self = weak.lock();
    if (self != nullptr && self->is_paused_ && self->attempt_ != nullptr) {
      self->is_paused_ = false;
      self->last_event_at_.reset();
      self->attempt_->SetReading(true);
    }
  });
}

bool ResponseRelay::IsWhole() const {
  const bool has_events = verdict_ == AttemptVerdict::kSuccess && IsStream() &&
                          request_.method != "HEAD";
  if (!has_events) {
    return true;
  }
  // An endpoint that breaks off before the first event may close its connection
  // like one that has nothing to send. A stream that broke off inside an event
  // has at least that one left.
  const bool may_be_empty =
      head_.framing() != http::BodyFraming::kConnectionEnd && !lacks_event_;
  return splitter_.remainder().empty() &&
         (splitter_.has_events() || may_be_empty);
}

void ResponseRelay::DeliverBuffered() {
  const bool is_head_request = request_.method == "HEAD";
  transaction_->StartStream(
      head_.status,
      context_->caller_protocol->FilterResponseHeaders(head_.headers),
      is_head_request ? head_.content_length.value_or(0) : body_.size());
  transaction_->Write(body_);
  transaction_->Finish();
}

void ResponseRelay::Finish() {
  if (!transaction_->is_started()) {
    Begin();
  }
  transaction_->Finish();
}

}  // namespace wasabi::forwarding
