// One HTTP/2 connection between two daemons: the socket, the nghttp2 session,
// writes collected over a turn of the loop, and the detection of silence.

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

// What the sessions of a node share. It outlives them all.
struct LinkContext {
  core::EventLoop* loop = nullptr;
  LinkOptions options;
  // Tells whether a host with this IP number may call.
  std::function<bool(uint32_t ip)> peer_check;
  std::function<void(std::shared_ptr<InboundCall>)> inbound_handler;
  // Bytes on all connections since the start, without TCP/IP headers.
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;

  void Record(core::EventCode code, std::string_view detail) const;
  // The Lamport stamp to send; 0 where there is no event ring.
  uint64_t StampOutgoing() const;
  void ObserveIncoming(std::string_view stamp) const;
};

// The base of the two directions. While the connection is open its watcher
// holds a reference to the session, so that it lives until it is closed.
class Session : public std::enable_shared_from_this<Session> {
 public:
  virtual ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Checks for silence; the node calls it every ping interval.
  void Tick();

  // Closes the connection. Calls on it end with `reason` as their explanation.
  void Close(std::string_view reason);

  bool closed() const { return closed_; }
  // True when no call is in flight and everything is written.
  bool IsIdle() const { return closed_ || (!HasCalls() && output_.empty()); }
  const core::SocketAddress& peer() const { return peer_; }

 protected:
  Session(std::shared_ptr<LinkContext> context, core::SocketAddress peer);

  // Takes over a socket; `connecting` when its connection isn't set up yet.
  void Attach(int descriptor, bool connecting);
  // Closes the session in a later turn of the loop, since no connection could
  // be started.
  void FailLater(std::string reason);
  // Keeps the connection until the peer closes it or the next tick, so that
  // the peer can read what was sent last.
  void Linger() { lingering_ = true; }
  // Makes the nghttp2 session and queues the first SETTINGS.
  void StartHttp2(bool as_server);
  // Writes what is queued in a later turn of the loop, once for all calls.
  void ScheduleFlush();

  nghttp2_session* http2() { return http2_; }
  LinkContext& context() { return *context_; }
  bool connecting() const { return connecting_; }

  // The nghttp2 callbacks. They may queue frames, and may close the session.
  virtual void OnHeader(int32_t stream,
                        std::string_view name,
                        std::string_view value) = 0;
  virtual void OnStreamStarted(int32_t stream) = 0;
  virtual void OnData(int32_t stream, std::string_view bytes) = 0;
  // The other side finished its half of the stream.
  virtual void OnEndOfStream(int32_t stream) = 0;
  virtual void OnStreamClosed(int32_t stream, uint32_t error_code) = 0;
  virtual void OnGoAway(std::string_view debug_data) = 0;
  // Bytes of `stream`'s body: fills `buf` and returns the count, which may be
  // NGHTTP2_ERR_DEFERRED; sets NGHTTP2_DATA_FLAG_EOF in `flags` at the end.
  virtual ssize_t OnReadBody(int32_t stream,
                             uint8_t* buf,
                             size_t length,
                             uint32_t* flags) = 0;
  // The connection is closed; called once.
  virtual void OnClosed(std::string_view reason) = 0;
  virtual bool HasCalls() const = 0;
  // Called every ping interval on a connection without calls.
  virtual void OnIdleTick() {}
  // Takes the bytes read; the default feeds them to nghttp2.
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
  bool FinishConnect();
  void ReadAvailable();
  void Flush();
  // After everything collected was written: goes on, or closes a session that
  // has nothing left to do.
  void FinishFlush();
  // Moves queued frames into the output buffer; false on a protocol error.
  bool CollectFrames();
  // Writes the output buffer; false on a lost connection.
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
  // Set by every read, cleared by every tick.
  bool heard_since_tick_ = true;
  // Ticks in a row, with calls in flight, without a byte from the peer. Ticks
  // are counted instead of time, because a process that was frozen finds much
  // time passed but only one tick.
  int silent_ticks_ = 0;
};

// The fields as nghttp2 takes them; they refer to `fields`.
std::vector<nghttp2_nv> ToNative(const std::vector<HeaderField>& fields);

}  // namespace wasabi::link

#endif  // LIBLINK_SESSION_H_
