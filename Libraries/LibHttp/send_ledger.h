// Decides which responses on a connection may answer a send. Servers may send a
// response twice, the second time as late as the next one is due, and the copy
// names the request that it answered first. If a request were sent twice on one
// connection, its id wouldn't tell which of the two sends a response answers.
// So a connection carries a request once at most, and a response is passed on
// only as the answer to the latest send.

#ifndef LIBHTTP_SEND_LEDGER_H_
#define LIBHTTP_SEND_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibHttp/message_parser.h"

namespace wasabi::http {

// The right to send one request on the connection whose ledger gave it.
class SendPermit {
 public:
  SendPermit(SendPermit&&) = default;
  SendPermit& operator=(SendPermit&&) = default;
  SendPermit(const SendPermit&) = delete;
  SendPermit& operator=(const SendPermit&) = delete;

 private:
  friend class SendLedger;
  SendPermit() = default;
};

// What a response says of the request that it answers. That is a claim: the
// copy of an earlier response says the same.
struct ResponseClaim {
  // The ids in the response, in their order.
  std::vector<std::string> ids = {};
  // The response says that its request has not run.
  bool is_refusal = false;
};

// The head of a response that answers the latest send on its connection. Valid
// as long as the head that it was made of.
class AnswerHead {
 public:
  int status() const { return head_->status; }
  const Headers& headers() const { return head_->headers; }
  const MessageHead& head() const { return *head_; }

 private:
  friend class SendLedger;
  explicit AnswerHead(const MessageHead* head) : head_(head) {}

  const MessageHead* head_;
};

enum class ResponseOwner : uint8_t {
  kLatestSend,
  // Another request, perhaps one that was answered before. The answer to the
  // latest send may follow.
  kOtherSend,
  // None: the response names no request, though it should, and can't be that of
  // another request, since nothing else was sent or received on the connection.
  kUnnamed,
};

struct ResponseMatch {
  ResponseOwner owner = ResponseOwner::kUnnamed;
  // Set with kLatestSend.
  std::optional<AnswerHead> answer = std::nullopt;
};

// Knows what was sent on one connection.
class SendLedger {
 public:
  // A connection carries no more requests than this, so that all their ids are
  // remembered.
  static constexpr size_t kMaxSends = 128;

  // Returns whether a request with `id` may be sent. It may not if the
  // connection can still bring a response to an earlier send with this id. An
  // empty id names no request, and may always be sent.
  bool MayCarry(std::string_view id) const;
  // Makes a request with `id` the latest send; nullopt if it must not be sent.
  [[nodiscard]] std::optional<SendPermit> Begin(std::string_view id);

  // Decides whose response `head` is. Each one answers a latest send that has
  // an empty id.
  ResponseMatch Match(const MessageHead& head, const ResponseClaim& claim);

  // Returns whether no further request with an id may be sent.
  bool is_full() const { return sent_.size() >= kMaxSends; }
  // Returns how often a request with the id of the latest send was sent.
  int sends_of_latest_id() const;

 private:
  ResponseOwner OwnerOf(const ResponseClaim& claim) const;

  // Hashes of the ids, in the order of the sends.
  std::vector<uint64_t> sent_;
  std::string latest_id_;
  // Sends, also those of requests without an id.
  size_t sends_ = 0;
  // A response to another request was received. Others may follow.
  bool has_crossed_ = false;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_SEND_LEDGER_H_
