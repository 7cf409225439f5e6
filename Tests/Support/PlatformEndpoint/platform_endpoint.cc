#include "Tests/Support/PlatformEndpoint/platform_endpoint.h"

#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/malformed_heads.h"
#include "platform/wire_names.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kServiceTime = core::milliseconds(20);
constexpr core::Duration kFirstEventTime = core::milliseconds(40);
constexpr core::Duration kEventTime = core::milliseconds(40);
// Time for which an endpoint wants no requests, if it asks for a pause.
constexpr core::Duration kPause = core::milliseconds(1500);
// Time between two pieces of an answer without end.
constexpr core::Duration kJunkPeriod = core::milliseconds(5);
// Time for which an endpoint works on after the copy of a refusal.
constexpr core::Duration kTimeAfterCopy = core::milliseconds(600);
constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

bool IsStream(const EndpointRun& run) {
  return run.headers.Find(adapter::kPromptPartsHeader).has_value();
}

// Returns the start of an answer that is written without a transaction.
std::string HeadOf(int status, const http::Headers& headers, size_t length) {
  std::string text = fmt::format("HTTP/1.1 {} X\r\n", status);
  for (const auto& [name, value] : headers.fields()) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  return text + fmt::format("Content-Length: {}\r\n\r\n", length);
}

// Returns the number in the header `name`, or nullopt if it is absent or
// invalid.
template <typename Number>
std::optional<Number> ParseNumberField(const http::Headers& headers,
                                       std::string_view name) {
  const auto text = headers.Find(name);
  return text ? core::ParseNumber<Number>(*text) : std::nullopt;
}

}  // namespace

struct PlatformEndpoint::Session {
  TransactionPointer transaction;
  RunPointer run;
  std::unique_ptr<core::Timer> timer;
  uint64_t next_event = 1;
  // The id of the event in which the stream is cut off, or 0 if it is not.
  uint64_t cut_after = 0;
  // The request whose first attempt began the stream.
  core::RequestId stream;
  // Sends bytes that are no answer, until the client closes the connection.
  bool is_endless = false;
  // Sends an answer with a malformed head.
  bool is_malformed = false;
  // The connection, once the copy of a refusal was written on it.
  std::shared_ptr<http::TcpStream> stream_after_copy;
};

absl::StatusOr<std::unique_ptr<PlatformEndpoint>> PlatformEndpoint::Create(
    core::EventLoop* loop,
    const EndpointOptions& options,
    RunObserver observer) {
  std::unique_ptr<PlatformEndpoint> endpoint(
      new PlatformEndpoint(loop, options, std::move(observer)));
  PlatformEndpoint* it = endpoint.get();
  TRY_ASSIGN(it->server_, http::RequestServer::Create(
                              loop, options.address,
                              [it](const TransactionPointer& transaction) {
                                it->OnRequest(transaction);
                              }));
  return endpoint;
}

PlatformEndpoint::PlatformEndpoint(core::EventLoop* loop,
                                   EndpointOptions options,
                                   RunObserver observer)
    : loop_(loop),
      options_(std::move(options)),
      observer_(std::move(observer)),
      crash_observer_([]() {}),
      random_(options_.seed) {}

PlatformEndpoint::~PlatformEndpoint() {
  const std::set<SessionPointer> sessions = sessions_;
  for (const SessionPointer& it : sessions) {
    it->transaction->Abort();
    if (it->stream_after_copy != nullptr) {
      it->stream_after_copy->Abort();
    }
    End(it, RunEnd::kCut);
  }
}

void PlatformEndpoint::OnRequest(const TransactionPointer& transaction) {
  const http::InboundRequest& request = transaction->request();
  const auto run = std::make_shared<EndpointRun>();
  run->endpoint = options_.id;
  run->pool = options_.pool;
  run->software_version = options_.software_version;
  run->request =
      core::RequestId(request.headers.Get(adapter::kRequestIdHeader));
  run->method = request.method;
  run->target = request.target;
  run->body = request.body;
  run->headers = request.headers;
  const auto remaining =
      ParseNumberField<int64_t>(request.headers, adapter::kDeadlineHeader);
  if (remaining) {
    run->remaining = core::milliseconds(*remaining);
  }
  run->resume_after =
      ParseNumberField<uint64_t>(request.headers, adapter::kLastEventIdHeader);
  run->started_at = loop_->Now();
  run->address = options_.address;
  run->connection = ConnectionOf(*transaction).number;
  RepeatRefusal(*transaction, run.get());
  const bool is_refused = Refuse(transaction, run.get());
  observer_(run);
  if (!is_refused) {
    StartSession(transaction, run);
  }
}

PlatformEndpoint::Connection& PlatformEndpoint::ConnectionOf(
    const http::Transaction& transaction) {
  static uint64_t connections = 0;
  Connection& connection = connections_[transaction.connection()];
  if (connection.number == 0) {
    connection.number = ++connections;
  }
  return connection;
}

void PlatformEndpoint::RepeatRefusal(const http::Transaction& transaction,
                                     EndpointRun* run) {
  Connection& connection = ConnectionOf(transaction);
  const auto refused = std::exchange(connection.refused, std::nullopt);
  const auto stream = transaction.connection().lock();
  if (!refused || stream == nullptr ||
      random_.Unit() >= faults_.repeated_refusal_share) {
    return;
  }
  stream->Send(connection.refusal);
  run->copied_refusal = refused;
}

bool PlatformEndpoint::Refuse(const TransactionPointer& transaction,
                              EndpointRun* run) {
  const auto expected = run->headers.Find(adapter::kExpectedEndpointHeader);
  const bool is_for_other_endpoint =
      expected && *expected != options_.id.value();
  const bool asks_for_pause = random_.Unit() < faults_.pause_share;
  const bool has_room = random_.Unit() >= faults_.refusal_share;
  if (!is_for_other_endpoint && !asks_for_pause && has_room &&
      sessions_.size() <
          options_.slots + faults_.waiting_room.value_or(options_.slots)) {
    return false;
  }
  run->end = RunEnd::kRefused;
  run->ended_at = loop_->Now();
  if (is_for_other_endpoint) {
    run->endpoint = core::RunnerId(*expected);
  }
  http::Answer answer = {
      .status = is_for_other_endpoint ? kMisdirected : kUnavailable,
      .headers = {
          {std::string(adapter::kRequestIdHeader), run->request.value()},
          {std::string(adapter::kNotExecutedHeader), "1"}}};
  if (asks_for_pause && !is_for_other_endpoint) {
    run->paused_until = run->ended_at + kPause;
    answer.headers.Add(std::string(adapter::kPauseHeader),
                       fmt::format("{}", core::ToSeconds(kPause)));
  }
  if (!is_for_other_endpoint) {
    NameLimit(run, &answer.headers);
  }
  Connection& connection = ConnectionOf(*transaction);
  connection.refused = run->request;
  connection.refusal = HeadOf(answer.status, answer.headers, 0);
  transaction->Respond(answer);
  if (!is_for_other_endpoint && !asks_for_pause) {
    RecordTurnedAway();
  }
  return true;
}

void PlatformEndpoint::RecordTurnedAway() {
  const core::TimePoint now = loop_->Now();
  turned_away_at_.push_back(now);
  while (now - turned_away_at_.front() > core::seconds(1)) {
    turned_away_at_.pop_front();
  }
  if (faults_.brittle_limit > 0 &&
      turned_away_at_.size() > faults_.brittle_limit) {
    turned_away_at_.clear();
    crash_observer_();
  }
}

void PlatformEndpoint::NameLimit(EndpointRun* run,
                                 http::Headers* headers) const {
  if (faults_.brittle_limit > 0) {
    headers->Add(std::string(adapter::kBrittleHeader),
                 fmt::format("{}", faults_.brittle_limit));
  }
  if (faults_.limit > 0) {
    run->limit_named_at = loop_->Now();
    headers->Add(std::string(adapter::kLimitHeader),
                 fmt::format("{}", faults_.limit));
  }
}

void PlatformEndpoint::AnnounceDeparture() {
  is_leaving_ = true;
  server_->CloseAfterResponses();
}

http::Headers PlatformEndpoint::AnswerHeaders(EndpointRun* run) const {
  http::Headers headers = {
      {std::string(adapter::kRequestIdHeader), run->request.value()},
      {std::string(adapter::kSignatureHeader), run->signature}};
  if (is_leaving_) {
    run->announces_departure = true;
    headers.Add(std::string(adapter::kLeavingHeader), "1");
  }
  NameLimit(run, &headers);
  return headers;
}

void PlatformEndpoint::StartSession(const TransactionPointer& transaction,
                                    const RunPointer& run) {
  const auto session = std::make_shared<Session>();
  session->transaction = transaction;
  session->run = run;
  session->next_event = run->resume_after.value_or(0) + 1;
  const auto first_attempt = run->headers.Find(adapter::kFirstAttemptHeader);
  session->stream =
      first_attempt ? core::RequestId(*first_attempt) : run->request;
  session->is_endless = random_.Unit() < faults_.endless_share;
  // Draws no number for endpoints without this fault.
  session->is_malformed =
      faults_.malformed_share > 0 && random_.Unit() < faults_.malformed_share;
  run->signature = fmt::format(
      "{:x}.{}", core::CombineHashes(run->request.Hash(), options_.id.Hash()),
      random_.Below(UINT32_MAX));
  sessions_.insert(session);
  const std::weak_ptr<Session> weak = session;
  transaction->OnCallerGone([this, weak]() {
    if (const auto it = weak.lock()) {
      End(it, it->is_endless ? RunEnd::kCut : RunEnd::kCancelled);
    }
  });
  session->timer = loop_->NewTimer([this, weak]() {
    const auto it = weak.lock();
    if (it == nullptr) {
      return;
    }
    if (it->stream_after_copy != nullptr) {
      AnswerAfterCopy(it);
    } else if (it->is_endless) {
      StartEndless(it);
    } else if (it->is_malformed) {
      SendMalformed(it);
    } else if (!IsStream(*it->run)) {
      AnswerPlain(it);
    } else if (!it->transaction->is_started()) {
      StartEvents(it);
    } else {
      SendEvent(it);
    }
  });
  if (HarmfulPartIn(run->headers).empty() &&
      random_.Unit() < faults_.copied_refusal_share) {
    CopyRefusal(session);
    return;
  }
  session->timer->StartOnce(faults_.delay +
                            (IsStream(*run) ? kFirstEventTime : kServiceTime));
}

void PlatformEndpoint::StartEndless(const SessionPointer& session) {
  static const std::string kJunk(16U << 10U, 'x');
  if (!session->transaction->is_started()) {
    // A plain body that bears the signature could be any answer.
    http::Headers headers = AnswerHeaders(session->run.get());
    if (!IsStream(*session->run)) {
      headers = {{std::string(adapter::kRequestIdHeader),
                  session->run->request.value()}};
    }
    session->transaction->StartUnframed(kOk, headers);
  }
  session->transaction->Write(kJunk);
  session->timer->StartOnce(kJunkPeriod);
}

void PlatformEndpoint::SendMalformed(const SessionPointer& session) {
  constexpr std::string_view kBody = "malformed";
  const auto stream = session->transaction->TakeOver();
  if (stream != nullptr) {
    const std::vector<MalformedHead> heads =
        MalformedHeads(fmt::format("{}: {}", adapter::kRequestIdHeader,
                                   session->run->request.value()),
                       fmt::format("Content-Length: {}", kBody.size()));
    // The connection stays open until the host closes it.
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [](std::string_view /*bytes*/) {};
    callbacks.on_end = [stream](http::TcpStream::End /*end*/) {
      stream->Close();
    };
    stream->SetCallbacks(std::move(callbacks));
    stream->Write(heads[random_.Below(heads.size())].text);
    stream->Write(kBody);
  }
  End(session, RunEnd::kCut);
}

void PlatformEndpoint::CopyRefusal(const SessionPointer& session) {
  session->stream_after_copy = session->transaction->TakeOver();
  if (session->stream_after_copy == nullptr) {
    End(session, RunEnd::kCancelled);
    return;
  }
  const std::weak_ptr<Session> weak = session;
  http::TcpStream::Callbacks callbacks;
  callbacks.on_data = [](std::string_view /*bytes*/) {};
  callbacks.on_end = [this, weak](http::TcpStream::End /*end*/) {
    if (const auto it = weak.lock()) {
      End(it, RunEnd::kCancelled);
    }
  };
  session->stream_after_copy->SetCallbacks(std::move(callbacks));
  session->stream_after_copy->Write(
      fmt::format("HTTP/1.1 {} X\r\n{}: 1\r\nContent-Length: 4\r\n\r\nfull",
                  kUnavailable, adapter::kNotExecutedHeader));
  session->timer->StartOnce(kTimeAfterCopy);
}

void PlatformEndpoint::AnswerAfterCopy(const SessionPointer& session) {
  EndpointRun* run = session->run.get();
  std::string body;
  if (IsStream(*run)) {
    for (uint64_t i = session->next_event; i <= EventCountOf(session->stream);
         ++i) {
      body += EventOf(session->stream, i, run->software_version);
    }
  } else {
    body = PlainAnswerOf(run->request);
  }
  http::Headers headers = AnswerHeaders(run);
  headers.Add("Content-Type",
              IsStream(*run) ? "text/event-stream" : "text/plain");
  headers.Add("Connection", "close");
  session->stream_after_copy->Write(HeadOf(kOk, headers, body.size()) + body);
  End(session, RunEnd::kAnswered);
}

void PlatformEndpoint::StartBody(const SessionPointer& session,
                                 const http::Headers& headers) {
  if (random_.Unit() < faults_.unframed_share) {
    session->transaction->StartUnframed(kOk, headers);
  } else {
    session->transaction->StartStream(kOk, headers, std::nullopt);
  }
}

void PlatformEndpoint::AnswerPlain(const SessionPointer& session) {
  if (random_.Unit() < faults_.lost_answer_share) {
    session->transaction->Abort();
    End(session, RunEnd::kCut);
    return;
  }
  const bool fails = random_.Unit() < faults_.failures;
  EndpointRun* run = session->run.get();
  if (!fails && faults_.unframed_share > 0) {
    StartBody(session, AnswerHeaders(run));
    session->transaction->Write(PlainAnswerOf(run->request));
    session->transaction->Finish();
    End(session, RunEnd::kAnswered);
    return;
  }
  session->transaction->Respond(
      {.status = fails ? kInternalError : kOk,
       .headers = AnswerHeaders(run),
       .body = fails ? "failed" : PlainAnswerOf(run->request)});
  End(session, fails ? RunEnd::kFailed : RunEnd::kAnswered);
}

void PlatformEndpoint::StartEvents(const SessionPointer& session) {
  if (!HarmfulPartIn(session->run->headers).empty()) {
    session->run->crashes_endpoint = true;
    session->transaction->Abort();
    End(session, RunEnd::kCut);
    crash_observer_();
    return;
  }
  if (random_.Unit() < faults_.failures + faults_.lost_answer_share) {
    session->transaction->Abort();
    End(session, RunEnd::kCut);
    return;
  }
  if (random_.Unit() < faults_.cut_answer_share) {
    session->cut_after = session->next_event + random_.Below(4);
  }
  http::Headers headers = AnswerHeaders(session->run.get());
  headers.Add("Content-Type", "text/event-stream");
  StartBody(session, headers);
  SendEvent(session);
}

void PlatformEndpoint::SendEvent(const SessionPointer& session) {
  const EndpointRun& run = *session->run;
  if (session->next_event > EventCountOf(session->stream)) {
    session->transaction->Finish();
    End(session, RunEnd::kAnswered);
    return;
  }
  const std::string event =
      EventOf(session->stream, session->next_event, run.software_version);
  if (session->cut_after != 0 && session->next_event >= session->cut_after) {
    session->transaction->Write(event.substr(0, event.size() / 2));
    session->transaction->Abort();
    End(session, RunEnd::kCut);
    return;
  }
  session->transaction->Write(event);
  ++session->next_event;
  session->timer->StartOnce(kEventTime + faults_.delay);
}

void PlatformEndpoint::End(const SessionPointer& session, RunEnd end) {
  if (sessions_.erase(session) == 0) {
    return;
  }
  session->run->end = end;
  session->run->ended_at = loop_->Now();
  session->timer.reset();
  // One of its callbacks may be running now.
  loop_->Post([session]() {});
}

}  // namespace wasabi::support
