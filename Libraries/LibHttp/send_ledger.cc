#include "LibHttp/send_ledger.h"

#include <algorithm>

#include "LibCore/hash.h"

namespace wasabi::http {

bool SendLedger::MayCarry(std::string_view id) const {
  if (id.empty()) {
    return true;
  }
  return !is_full() && std::find(sent_.begin(), sent_.end(),
                                 core::StableHash(id)) == sent_.end();
}

std::optional<SendPermit> SendLedger::Begin(std::string_view id) {
  if (!MayCarry(id)) {
    return std::nullopt;
  }
  latest_id_ = id;
  ++sends_;
  if (!id.empty()) {
    sent_.push_back(core::StableHash(id));
  }
  return SendPermit();
}

ResponseMatch SendLedger::Match(const MessageHead& head,
                                const ResponseClaim& claim) {
  const ResponseOwner owner = OwnerOf(claim);
  if (owner == ResponseOwner::kLatestSend) {
    return {.owner = owner, .answer = AnswerHead(&head)};
  }
  has_crossed_ = has_crossed_ || owner == ResponseOwner::kOtherSend;
  return {.owner = owner};
}

ResponseOwner SendLedger::OwnerOf(const ResponseClaim& claim) const {
  if (latest_id_.empty()) {
    return ResponseOwner::kLatestSend;
  }
  if (claim.ids.empty()) {
    // A refusal without an id may be a copy of one to another request.
    const bool is_first = sends_ == 1 && !has_crossed_;
    return is_first && !claim.is_refusal ? ResponseOwner::kUnnamed
                                         : ResponseOwner::kOtherSend;
  }
  const bool names_latest =
      std::all_of(claim.ids.begin(), claim.ids.end(),
                  [this](const std::string& it) { return it == latest_id_; });
  return names_latest ? ResponseOwner::kLatestSend : ResponseOwner::kOtherSend;
}

int SendLedger::sends_of_latest_id() const {
  return static_cast<int>(
      std::count(sent_.begin(), sent_.end(), core::StableHash(latest_id_)));
}

}  // namespace wasabi::http
