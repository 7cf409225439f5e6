#include "LibLink/session.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::link {

namespace {

constexpr size_t kReadBufferBytes = size_t{64} << 10U;
// Frames are batched up to this size before they are written.
constexpr size_t kOutputBufferBytes = size_t{256} << 10U;
// Receivers consume data immediately, so the windows only need to exceed the
// bytes in flight.
constexpr uint32_t kStreamWindowBytes = 1U << 20U;
constexpr int32_t kConnectionWindowBytes = 1 << 30;
constexpr uint32_t kMaxStreams = 1U << 14U;
// Cancelled calls are normal between trusted daemons. nghttp2's default limit
// on stream resets is meant for untrusted peers.
constexpr uint64_t kResetBurst = 1U << 20U;
constexpr uint64_t kResetsPerSecond = 1U << 16U;

std::string_view ToView(const uint8_t* bytes, size_t length) {
  return {reinterpret_cast<const char*>(bytes), length};
}

uint8_t* ToBytes(const std::string& text) {
  return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
}

// Returns the number of ticks that `limit` takes, rounded up.
int CeilToTicks(core::Duration limit, core::Duration interval) {
  return static_cast<int>((limit + interval - core::Duration(1)) / interval);
}

}  // namespace

void LinkContext::Record(core::EventCode code, std::string_view detail) const {
  if (options.event_ring != nullptr) {
    options.event_ring->Record(code, "", detail);
  }
}

uint64_t LinkContext::StampOutgoing() const {
  return options.event_ring == nullptr ? 0
                                       : options.event_ring->StampOutgoing();
}

void LinkContext::ObserveIncoming(std::string_view stamp) const {
  const auto lamport = core::ParseNumber<uint64_t>(stamp);
  if (options.event_ring != nullptr && lamport) {
    options.event_ring->ObserveIncoming(*lamport);
  }
}

// Adapts the C callbacks of nghttp2 to the methods of Session.
struct Session::Callbacks {
  static int Result(const Session& session) {
    return session.closed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data) {
    auto& session = *static_cast<Session*>(user_data);
    session.OnStreamStarted(frame->hd.stream_id);
    return Result(session);
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_length,
                      const uint8_t* value,
                      size_t value_length,
                      uint8_t,
                      void* user_data) {
    auto& session = *static_cast<Session*>(user_data);
    session.OnHeader(frame->hd.stream_id, ToView(name, name_length),
                     ToView(value, value_length));
    return Result(session);
  }

  static int OnDataChunk(nghttp2_session*,
                         uint8_t,
                         int32_t stream,
                         const uint8_t* bytes,
                         size_t length,
                         void* user_data) {
    auto& session = *static_cast<Session*>(user_data);
    session.OnData(stream, ToView(bytes, length));
    return Result(session);
  }

  static int OnFrameReceived(nghttp2_session*,
                             const nghttp2_frame* frame,
                             void* user_data) {
    auto& session = *static_cast<Session*>(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY) {
      session.OnGoAway(
          ToView(frame->goaway.opaque_data, frame->goaway.opaque_data_len));
    }
    const bool has_body =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (has_body && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      session.OnEndOfStream(frame->hd.stream_id);
    }
    return Result(session);
  }

  // A queued request could not be sent because the peer stopped accepting new
  // streams.
  static int OnFrameNotSent(nghttp2_session*,
                            const nghttp2_frame* frame,
                            int,
                            void* user_data) {
    auto& session = *static_cast<Session*>(user_data);
    if (frame->hd.type == NGHTTP2_HEADERS) {
      session.OnStreamClosed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    }
    return Result(session);
  }

  static int OnStreamClose(nghttp2_session*,
                           int32_t stream,
                           uint32_t error_code,
                           void* user_data) {
    auto& session = *static_cast<Session*>(user_data);
    session.OnStreamClosed(stream, error_code);
    return Result(session);
  }

  static nghttp2_session_callbacks* New() {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              OnDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         OnFrameReceived);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                             OnFrameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           OnStreamClose);
    return callbacks;
  }
};

Session::Session(std::shared_ptr<LinkContext> context, core::SocketAddress peer)
    : context_(std::move(context)), peer_(peer) {}

Session::~Session() {
  watcher_.reset();
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
  nghttp2_session_del(http2_);
}

void Session::Attach(int descriptor, bool connecting) {
  descriptor_ = descriptor;
  connecting_ = connecting;
  watcher_ = context_->loop->Watch(
      descriptor, [self = shared_from_this()](bool readable, bool writable) {
        self->OnReady(readable, writable);
      });
  watcher_->SetInterest(true, connecting);
}

void Session::FailLater(std::string reason) {
  connecting_ = true;
  context_->loop->Post([self = shared_from_this(), reason = std::move(reason)] {
    self->Close(reason);
  });
}

void Session::StartHttp2(bool as_server) {
  static nghttp2_session_callbacks* const kCallbacks = Callbacks::New();
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_peer_max_concurrent_streams(options, kMaxStreams);
  nghttp2_option_set_no_closed_streams(options, 1);
  nghttp2_option_set_stream_reset_rate_limit(options, kResetBurst,
                                             kResetsPerSecond);
  if (as_server) {
    nghttp2_session_server_new2(&http2_, kCallbacks, this, options);
  } else {
    nghttp2_session_client_new2(&http2_, kCallbacks, this, options);
  }
  nghttp2_option_del(options);
  const std::array<nghttp2_settings_entry, 3> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
       {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
  nghttp2_submit_settings(http2_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(http2_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  ScheduleFlush();
}

void Session::Tick() {
  if (closed_) {
    return;
  }
  if (lingering_) {
    Close("refused");
    return;
  }
  const bool heard = std::exchange(received_since_tick_, false);
  if (heard || !(HasCalls() || connecting_)) {
    silent_ticks_ = 0;
    if (!HasCalls()) {
      OnIdleTick();
    }
    return;
  }
  ++silent_ticks_;
  const LinkOptions& options = context_->options;
  if (silent_ticks_ >
      CeilToTicks(options.silence_limit, options.ping_interval)) {
    context_->Record(core::EventCode::kConnectionSilent,
                     fmt::format("peer={}", peer_.ToString()));
    Close("the connection is silent (no bytes received within the limit)");
    return;
  }
  if (!connecting_) {
    nghttp2_submit_ping(http2_, NGHTTP2_FLAG_NONE, nullptr);
    ScheduleFlush();
  }
}

void Session::Close(std::string_view reason) {
  if (std::exchange(closed_, true)) {
    return;
  }
  const std::shared_ptr<Session> self = shared_from_this();
  watcher_.reset();
  if (descriptor_ >= 0) {
    close(std::exchange(descriptor_, -1));
  }
  if (!connecting_) {
    context_->Record(
        core::EventCode::kLinkDown,
        fmt::format("peer={} reason={}", peer_.ToString(), reason));
  }
  OnClosed(reason);
}

void Session::ScheduleFlush() {
  if (closed_ || connecting_ || std::exchange(flush_scheduled_, true)) {
    return;
  }
  context_->loop->Post([self = shared_from_this()] { self->Flush(); });
}

void Session::OnReady(bool readable, bool writable) {
  if (closed_) {
    return;
  }
  if (connecting_ && !FinishConnect()) {
    return;
  }
  if (readable) {
    ReadAvailable();
  }
  if (writable && !closed_) {
    Flush();
  }
}

bool Session::FinishConnect() {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    Close(std::strerror(error));
    return false;
  }
  connecting_ = false;
  received_since_tick_ = true;
  context_->Record(core::EventCode::kLinkUp,
                   fmt::format("peer={}", peer_.ToString()));
  return true;
}

void Session::ReadAvailable() {
  // All sessions share one buffer, because its contents are processed before
  // ReadAvailable returns.
  static std::string& buf = *new std::string(kReadBufferBytes, '\0');
  const ssize_t n = recv(descriptor_, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (n <= 0) {
    Close(n == 0 ? "closed by the peer" : std::strerror(errno));
    return;
  }
  received_since_tick_ = true;
  context_->bytes_received += static_cast<uint64_t>(n);
  OnBytes({buf.data(), static_cast<size_t>(n)});
}

void Session::OnBytes(std::string_view bytes) {
  const ssize_t taken = nghttp2_session_mem_recv(
      http2_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (closed_) {
    return;
  }
  if (taken < 0) {
    Close(nghttp2_strerror(static_cast<int>(taken)));
    return;
  }
  ScheduleFlush();
}

bool Session::CollectFrames() {
  while (output_.size() < kOutputBufferBytes) {
    const uint8_t* bytes = nullptr;
    const ssize_t n = nghttp2_session_mem_send(http2_, &bytes);
    if (n <= 0) {
      return n == 0;
    }
    output_.append(ToView(bytes, static_cast<size_t>(n)));
  }
  return true;
}

bool Session::WriteBuffered() {
  while (output_offset_ < output_.size()) {
    const ssize_t n =
        send(descriptor_, output_.data() + output_offset_,
             output_.size() - output_offset_, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && errno != EINTR) {
      return errno == EAGAIN;
    }
    if (n > 0) {
      output_offset_ += static_cast<size_t>(n);
      context_->bytes_sent += static_cast<uint64_t>(n);
    }
  }
  output_.clear();
  output_offset_ = 0;
  return true;
}

void Session::Flush() {
  flush_scheduled_ = false;
  if (closed_) {
    return;
  }
  const bool collect_succeeded = output_.empty() ? CollectFrames() : true;
  if (closed_) {
    return;
  }
  if (!collect_succeeded || !WriteBuffered()) {
    Close(collect_succeeded ? std::strerror(errno) : "protocol error");
    return;
  }
  if (!output_.empty()) {
    watcher_->SetInterest(true, true);
    return;
  }
  watcher_->SetInterest(true, false);
  FinishFlush();
}

void Session::FinishFlush() {
  if (nghttp2_session_want_write(http2_) != 0) {
    ScheduleFlush();
    return;
  }
  if (nghttp2_session_want_read(http2_) == 0 && !lingering_) {
    Close("all calls are finished");
  }
}

ssize_t Session::ReadBodyCallback(nghttp2_session*,
                                  int32_t stream,
                                  uint8_t* buf,
                                  size_t length,
                                  uint32_t* flags,
                                  nghttp2_data_source*,
                                  void* user_data) {
  return static_cast<Session*>(user_data)->OnReadBody(stream, buf, length,
                                                      flags);
}

std::vector<nghttp2_nv> ToNative(const std::vector<HeaderField>& fields) {
  std::vector<nghttp2_nv> native;
  native.reserve(fields.size());
  for (const HeaderField& it : fields) {
    // Lamport timestamps differ for every call, so indexing them would only
    // fill the HPACK table.
    const uint8_t flags = it.name == kLamportHeader ? NGHTTP2_NV_FLAG_NO_INDEX
                                                    : NGHTTP2_NV_FLAG_NONE;
    native.push_back({ToBytes(it.name), ToBytes(it.value), it.name.size(),
                      it.value.size(), flags});
  }
  return native;
}

}  // namespace wasabi::link
