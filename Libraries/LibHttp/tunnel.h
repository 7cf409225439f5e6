// The messages that open a tunnel: a connection of one host that another host,
// the carrier, joins with a connection to an endpoint. docs/PROTOCOLS.md has
// the exchange.

#ifndef LIBHTTP_TUNNEL_H_
#define LIBHTTP_TUNNEL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibHttp/headers.h"

namespace wasabi::http {

inline constexpr std::string_view kTunnelMethod = "CONNECT";

// The carrier's reply. Before kOpen or kOpenFramed no byte reaches the
// endpoint.
enum class TunnelReply : uint8_t {
  // Bytes pass unchanged. A carrier that knows no frames answers this, and one
  // that is asked by a host that knows none.
  kOpen,
  // What the endpoint sends arrives in frames (see tunnel_frames.h).
  kOpenFramed,
  // The carrier cannot connect to the endpoint.
  kEndpointUnreachable,
  // The carrier must not send the endpoint requests: it does not know it, or
  // the endpoint leaves or has asked the carrier for a pause.
  kEndpointUnavailable,
  // The carrier has no path to endpoints itself, is full or shuts down.
  kCarrierUnavailable,
};

// Encodes the request for a tunnel to the endpoint whose id has this hash, for
// the request `request_id`, which may be empty. It says that this host knows
// frames.
std::string EncodeTunnelRequest(uint64_t endpoint_hash,
                                std::string_view request_id);
// Returns the hash in the target of a request for a tunnel; nullopt if it is
// malformed.
std::optional<uint64_t> EndpointHashOfTunnel(std::string_view target);

// Returns whether the host that sent a request with `headers` knows frames.
bool AcceptsTunnelFrames(const Headers& headers);

// Returns the id of the request that a tunnel with these headers is for; empty
// if the host doesn't state it.
std::string RequestIdOfTunnel(const Headers& headers);

std::string EncodeTunnelReply(TunnelReply reply);
// Removes a reply from the front of `input`. Returns nullopt if it is
// incomplete, and kCarrierUnavailable if it is malformed.
std::optional<TunnelReply> TakeTunnelReply(std::string* input);

}  // namespace wasabi::http

#endif  // LIBHTTP_TUNNEL_H_
