// The client side of a connection between daemons, which starts calls.

#ifndef LIBLINK_CLIENT_SESSION_H_
#define LIBLINK_CLIENT_SESSION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibLink/link.h"
#include "LibLink/session.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::link {

class ClientSession final : public Session {
 public:
  // Starts a connection to `peer`. Calls can be queued immediately. If the
  // connection attempt fails, they end with kPeerUnreachable in a later turn of
  // the loop.
  static std::shared_ptr<ClientSession> Connect(
      std::shared_ptr<LinkContext> context,
      const core::SocketAddress& peer);

  // False once the connection is closed or the peer accepts no new calls on it.
  bool CanTakeCalls();

  // Starts a call; see Link::Call.
  std::shared_ptr<OutboundCall> Call(CallKind kind,
                                     std::string request,
                                     CallHandlers handlers);

 private:
  class ClientCall;

  ClientSession(std::shared_ptr<LinkContext> context,
                const core::SocketAddress& peer);
  void StartConnecting();
  // Returns the call of `stream`, or nullptr if it has ended.
  std::shared_ptr<ClientCall> Find(int32_t stream) const;
  void FinishCall(int32_t stream, const absl::Status& status);
  void CancelCall(int32_t stream);
  // Returns the status for a call whose connection was closed for `reason`.
  absl::Status ConnectionLostStatus(const ClientCall& call,
                                    std::string_view reason) const;

  void OnHeader(int32_t stream,
                std::string_view name,
                std::string_view value) override;
  void OnStreamStarted(int32_t) override {}
  void OnData(int32_t stream, std::string_view bytes) override;
  void OnEndOfStream(int32_t) override {}
  void OnStreamClosed(int32_t stream, uint32_t error_code) override;
  void OnGoAway(std::string_view debug_data) override;
  ssize_t OnReadBody(int32_t stream,
                     uint8_t* buf,
                     size_t length,
                     uint32_t* flags) override;
  void OnClosed(std::string_view reason) override;
  bool HasCalls() const override { return !calls_.empty(); }
  void OnIdleTick() override;

  absl::flat_hash_map<int32_t, std::shared_ptr<ClientCall>> calls_;
  // Set if the peer refuses all calls from this host.
  std::optional<absl::Status> refusal_;
  int idle_ticks_ = 0;
};

}  // namespace wasabi::link

#endif  // LIBLINK_CLIENT_SESSION_H_
