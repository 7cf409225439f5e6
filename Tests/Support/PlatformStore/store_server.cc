#include "Tests/Support/PlatformStore/store_server.h"

#include <curl/curl.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "LibCore/text.h"
#include "LibCore/try.h"
#include "absl/strings/escaping.h"
#include "platform/wire_names.h"

namespace wasabi::support {

namespace {

using platform::KeyedRecord;
using platform::Offset;

constexpr core::Duration kAnswerLatency = core::milliseconds(4);
constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
constexpr int kBadRequest = 400;

std::string BigEndian(uint64_t value, size_t n) {
  std::string bytes;
  for (size_t i = n; i > 0; --i) {
    bytes.push_back(static_cast<char>(value >> (8 * (i - 1))));
  }
  return bytes;
}

std::string PercentDecode(const std::string& text) {
  int n = 0;
  char* raw = curl_easy_unescape(nullptr, text.data(),
                                 static_cast<int>(text.size()), &n);
  std::string value(raw, static_cast<size_t>(n));
  curl_free(raw);
  return value;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const size_t question = target.find('?');
  if (question == std::string::npos) {
    return query;
  }
  for (const std::string& it :
       core::SplitList(target.substr(question + 1), '&')) {
    const size_t equals = std::min(it.find('='), it.size() - 1);
    query[it.substr(0, equals)] = PercentDecode(it.substr(equals + 1));
  }
  return query;
}

Offset NumberOf(const std::map<std::string, std::string>& query,
                const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? 0
                           : core::ParseNumber<Offset>(it->second).value_or(0);
}

std::string EncodeRecord(const KeyedRecord& record) {
  const std::string bytes =
      BigEndian(record.key.size(), 1) + record.key + record.value.value_or("");
  return BigEndian(bytes.size(), kLengthBytes) + bytes;
}

// Returns the record in the body of an append, or nullopt if the body is too
// short.
std::optional<KeyedRecord> DecodeRecord(const std::string& body) {
  if (body.size() <= kLengthBytes) {
    return std::nullopt;
  }
  const size_t key_bytes = static_cast<unsigned char>(body[kLengthBytes]);
  if (body.size() < kLengthBytes + 1 + key_bytes) {
    return std::nullopt;
  }
  KeyedRecord record;
  record.key = body.substr(kLengthBytes + 1, key_bytes);
  const std::string value = body.substr(kLengthBytes + 1 + key_bytes);
  if (!value.empty()) {
    record.value = value;
  }
  return record;
}

http::Answer JsonAnswer(const nlohmann::json& body) {
  return {.status = kOk,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump()};
}

}  // namespace

absl::StatusOr<std::unique_ptr<StoreServer>> StoreServer::Create(
    core::EventLoop* loop,
    const core::SocketAddress& address,
    WatchedLog* log,
    uint64_t seed) {
  std::unique_ptr<StoreServer> server(new StoreServer(loop, log, seed));
  StoreServer* it = server.get();
  it->address_ = address;
  TRY_ASSIGN(it->server_,
             http::RequestServer::Create(
                 loop, address, [it](const TransactionPointer& transaction) {
                   it->OnRequest(transaction);
                 }));
  log->AddWatcher([it](const std::string& topic) { it->OnAppended(topic); });
  return server;
}

StoreServer::StoreServer(core::EventLoop* loop, WatchedLog* log, uint64_t seed)
    : loop_(loop), log_(log), random_(seed) {}

void StoreServer::OnRequest(const TransactionPointer& transaction) {
  if (ApplyOutage(transaction)) {
    return;
  }
  const auto it = delayed_.emplace(delayed_.end());
  *it = loop_->NewTimer([this, transaction, it]() {
    delayed_.erase(it);
    Serve(transaction);
  });
  (*it)->StartOnce(kAnswerLatency + faults_.delay);
}

bool StoreServer::ApplyOutage(const TransactionPointer& transaction) {
  switch (faults_.outage) {
    case StoreOutage::kNone:
      return false;
    case StoreOutage::kBusy:
      transaction->Respond({.status = kUnavailable});
      return true;
    case StoreOutage::kTooMany:
      transaction->Respond({.status = kTooMany});
      return true;
    case StoreOutage::kReset:
      transaction->Abort();
      return true;
    case StoreOutage::kSilent:
      return true;
  }
  return false;
}

void StoreServer::Serve(const TransactionPointer& transaction) {
  const std::string& target = transaction->request().target;
  const std::string path = target.substr(0, target.find('?'));
  const Query query = QueryOf(target);
  if (path == "/log-append") {
    Append(transaction, query);
  } else if (path == "/log-read") {
    ReadFrom(transaction, query);
  } else if (path == "/log-newest") {
    ReadNewest(transaction, query);
  } else {
    Respond(transaction, {.status = kNotFound});
  }
}

void StoreServer::Respond(const TransactionPointer& transaction,
                          http::Answer answer) {
  answer.headers.Add(std::string(adapter::kLogEpochHeader),
                     std::to_string(log_->log().epoch()));
  transaction->Respond(answer);
}

void StoreServer::Append(const TransactionPointer& transaction,
                         const Query& query) {
  const auto record = DecodeRecord(transaction->request().body);
  const auto topic = query.find("topic");
  if (!record || topic == query.end()) {
    Respond(transaction, {.status = kBadRequest});
    return;
  }
  const Offset offset = log_->Append(topic->second, record->key, record->value);
  if (random_.Unit() < faults_.lost_answer_share) {
    transaction->Abort();
    return;
  }
  Respond(transaction, JsonAnswer({{"offset", offset}, {"end", offset + 1}}));
}

void StoreServer::ReadFrom(const TransactionPointer& transaction,
                           const Query& query) {
  const std::string topic = query.at("topic");
  const Offset from = NumberOf(query, "from");
  const core::Duration wait = core::milliseconds(NumberOf(query, "wait_ms"));
  if (wait == core::Duration::zero() || from < log_->log().End(topic)) {
    AnswerRead(transaction, topic, from);
    return;
  }
  const auto it = pending_.emplace(pending_.end());
  it->transaction = transaction;
  it->topic = topic;
  it->from = from;
  it->timer = loop_->NewTimer([this, it]() {
    AnswerRead(it->transaction, it->topic, it->from);
    pending_.erase(it);
  });
  it->timer->StartOnce(wait);
}

void StoreServer::OnAppended(const std::string& topic) {
  for (PendingRead& it : pending_) {
    if (it.topic == topic) {
      it.timer->StartOnce(core::Duration::zero());
    }
  }
}

void StoreServer::AnswerRead(const TransactionPointer& transaction,
                             const std::string& topic,
                             Offset from) {
  const auto page = log_->log().ReadFrom(topic, from);
  if (!page.ok()) {
    Respond(transaction, {.status = kGone,
                          .body = fmt::format(R"({{"first":{}}})",
                                              log_->log().FirstKept(topic))});
    return;
  }
  std::string body =
      BigEndian(static_cast<uint64_t>(page->next), kOffsetBytes) +
      BigEndian(static_cast<uint64_t>(log_->log().FirstKept(topic)),
                kOffsetBytes);
  for (const KeyedRecord& it : page->records) {
    body += EncodeRecord(it);
  }
  Respond(transaction, {.status = kOk, .body = body});
}

void StoreServer::ReadNewest(const TransactionPointer& transaction,
                             const Query& query) {
  constexpr size_t kMaxItems = 500;
  const auto after = query.find("after");
  const platform::KeyedPage page = log_->log().ReadNewest(query.at("topic"));
  nlohmann::json items = nlohmann::json::array();
  bool has_more = false;
  for (const KeyedRecord& it : page.records) {
    if (after != query.end() && it.key <= after->second) {
      continue;
    }
    if (items.size() == kMaxItems) {
      has_more = true;
      break;
    }
    items.push_back({{"key", it.key},
                     {"value", absl::Base64Escape(it.value.value_or(""))},
                     {"offset", it.offset}});
  }
  Respond(transaction,
          JsonAnswer(
              {{"items", items}, {"has_more", has_more}, {"end", page.next}}));
}

}  // namespace wasabi::support
