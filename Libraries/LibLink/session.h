// An HTTP/2 connection between two daemons. It owns the socket and the nghttp2
// session, batches writes per turn of the event loop, and detects dead peers.

#ifndef LIBLINK_SESSION_H_
#define LIBLINK_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibLink/link_options.h"
#include "LibLink/wire_format.h"

namespace wasabi::link {

// The state that all sessions of a LinkNode share. It outlives them.
struct LinkContext {
  core::EventLoop* loop = nullptr;
  LinkOptions options;
  // Returns true if the host with this IP address (host byte order) may call.
  std::function<bool(uint32_t ip)> peer_check;
  std::function<void(std::shared_ptr<InboundCall>)> inbound_handler;
  // Bytes on all connections since the start, excluding TCP/IP headers.
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;

  // Records an event if there is an event ring.
  void Record(core::EventCode code, std::string_view detail) const;
  // Returns the Lamport timestamp to send; 0 if there is no event ring.
  uint64_t StampOutgoing() const;
  // Advances the Lamport clock to a received timestamp. An unparsable `stamp`
  // is ignored.
  void ObserveIncoming(std::string_view stamp) const;
};

// The common base of ClientSession and ServerSession. While the connection is
// open, its watcher holds a reference that keeps the session alive.
class Session : public std::enable_shared_from_this<Session> {
 public:
  virtual ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Checks for timeouts and sends PINGs. LinkNode calls it every ping interval.
  void Tick();

  // Closes the connection. `reason` becomes part of the status of its calls.
  void Close(std::string_view reason);

  bool closed() const { return closed_; }
  // True if no call is in flight and all output is written.
  bool IsIdle() const { return closed_ || (!HasCalls() && output_.empty()); }
  const core::SocketAddress& peer() const { return peer_; }

 protected:
  Session(std::shared_ptr<LinkContext> context, core::SocketAddress peer);

  // Takes ownership of a socket. `connecting` is true if its connection isn't
  // established yet.
  void Attach(int descriptor, bool connecting);
  // Closes the session in a later turn of the loop because no connection could
  // be started.
  void FailLater(std::string reason);
  // Keeps the connection open until the peer closes it or the next tick, so
  // that the peer can read the last frames.
  void Linger() { lingering_ = true; }
  // Creates the nghttp2 session and queues the initial SETTINGS frame.
  void StartHttp2(bool as_server);
  // Schedules a write of all queued frames in a later turn of the loop.
  // Repeated calls in one turn cause one write.
  void ScheduleFlush();

  nghttp2_session* http2() { return http2_; }
  LinkContext& context() { return *context_; }
  bool connecting() const { return connecting_; }

  // Called by nghttp2. They may queue frames and may close the session.
  virtual void OnHeader(int32_t stream,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnStreamStarted(int32_t stream) = 0;
  virtual void OnData(int32_t stream, std::string_view bytes) = 0;
  // The peer half-closed the stream (END_STREAM).
  virtual void OnEndOfStream(int32_t stream) = 0;
  virtual void OnStreamClosed(int32_t stream, uint32_t error_code) = 0;
  virtual void OnGoAway(std::string_view debug_data) = 0;
  // Copies the next body bytes of `stream` to `buf`. Returns their number, or
  // NGHTTP2_ERR_DEFERRED if none are available yet. Sets NGHTTP2_DATA_FLAG_EOF
  // in `flags` at the end of the body.
  virtual ssize_t OnReadBody(int32_t stream,
                             uint8_t* buf,
                             size_t length,
                             uint32_t* flags) = 0;
  // Called once when the connection is closed.
  virtual void OnClosed(std::string_view reason) = 0;
  virtual bool HasCalls() const = 0;
  // Called every ping interval while the connection has no calls.
  virtual void OnIdleTick() {}
  // Processes received bytes. The default implementation passes them to
  // nghttp2.
  virtual void OnBytes(std::string_view bytes);

  static ssize_t ReadBodyCallback(nghttp2_session* http2,
                                  int32_t stream,
                                  uint8_t* buf,
                                  size_t length,
                                  uint32_t* flags,
                                  nghttp2_data_source* source,
                                  void* user_data);

 private:
  struct Callbacks;

  void OnReady(bool readable, bool writable);
  // Handles the result of connect(); false if it failed.
  bool FinishConnect();
  void ReadAvailable();
  void Flush();
  // Called when the output buffer is written. Schedules the next flush, or
  // closes a session that has nothing left to send or receive.
  void FinishFlush();
  // Moves queued frames to the output buffer; false on a protocol error.
  bool CollectFrames();
  // Writes the output buffer until the socket would block; false if the
  // connection is lost.
  bool WriteBuffered();

  const std::shared_ptr<LinkContext> context_;
  const core::SocketAddress peer_;
  int descriptor_ = -1;
  std::unique_ptr<core::IoWatcher> watcher_;
  nghttp2_session* http2_ = nullptr;
  std::string output_;
  size_t output_offset_ = 0;
  bool connecting_ = false;
  bool flush_scheduled_ = false;
  bool closed_ = false;
  bool lingering_ = false;
  // True if bytes were received since the last tick.
  bool received_since_tick_ = true;
  // The number of consecutive ticks with calls in flight and no received byte.
  // Ticks are counted instead of time because a process that was suspended sees
  // a large time step but only one tick.
  int silent_ticks_ = 0;
};

// Converts the fields for nghttp2. The result refers to `fields`, which must
// outlive it.
std::vector<nghttp2_nv> ToNative(const std::vector<HeaderField>& fields);

}  // namespace wasabi::link

#endif  // LIBLINK_SESSION_H_
