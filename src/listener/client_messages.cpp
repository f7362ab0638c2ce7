// Handles client messages and turns statements into requests.
#include <algorithm>
#include <functional>
#include <utility>

#include "src/listener/client_connection.hpp"
#include "src/listener/client_listener.hpp"
#include "src/listener/rejection_reason.hpp"
#include "src/listener/response_messages.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"

namespace tulipyoke::net {
namespace {

constexpr Micros kMicrosPerMilli = 1'000;
// Retry-after for clients of a router that is out of service. It is short, because another router accepts
// them at once.
constexpr Micros kOutOfServiceRetryAfter = 20'000;
// The connection is closed on this many rejected statements in a row.
constexpr int kMaxConsecutiveRejections = 8;
// Statements are rejected once the responses of all clients need this many times the memory from which on
// only clients that have read theirs may send more.
constexpr std::size_t kMaxResponseFactor = 2;
constexpr std::string_view kSimpleQueriesOnly = "only simple queries are served";

std::uint64_t SessionKey(std::string_view text) {
  if (text.empty()) return 0;
  return std::max<std::uint64_t>(1, std::hash<std::string_view>{}(text));
}

requests::RequestIdKey RequestIdKeyOf(std::string_view request_id) {
  return std::hash<std::string_view>{}(request_id);
}

}  // namespace

std::optional<RequestId> ClientListener::PrecedingWrite(const ClientConnection& client, std::uint64_t key) {
  if (key == 0) return std::nullopt;
  const auto writes = [&](const PendingResponse& pending) {
    return pending.is_open() && pending.written_session == key;
  };
  const auto last = std::find_if(client.pending_responses.rbegin(), client.pending_responses.rend(), writes);
  if (last == client.pending_responses.rend()) return std::nullopt;
  return last->request;
}

void ClientListener::OnStartup(const ConnectionPtr& client, std::string_view body) {
  const pg::Result<pg::StartupKind> kind = pg::ParseStartup(body);
  if (!kind) return OnProtocolError(client, kind.error());
  switch (*kind) {
    case pg::StartupKind::kEncryption:
      client->output += 'N';
      return;
    case pg::StartupKind::kCancel:
      return Close(client);
    case pg::StartupKind::kSession:
      break;
  }
  client->startup_complete = true;
  client->login_step_started = clock_.Now();
  client->reader.EndStartup();
  pg::AppendAuthenticationOk(client->output);
  pg::AppendParameterStatus(client->output, "server_version", "15.0");
  pg::AppendParameterStatus(client->output, "server_encoding", "UTF8");
  pg::AppendParameterStatus(client->output, "client_encoding", "UTF8");
  pg::AppendParameterStatus(client->output, "standard_conforming_strings", "on");
  pg::AppendReadyForQuery(client->output);
}

void ClientListener::OnMessage(const ConnectionPtr& client, char type, std::string_view body) {
  client->has_sent_message = true;
  switch (type) {
    case 'Q': {
      client->skipping_to_sync = false;
      const pg::Result<std::string_view> text = pg::ParseQuery(body);
      if (!text) return OnProtocolError(client, text.error());
      return OnQuery(client, *text);
    }
    case 'X':
      return OnTerminate(client);
    case 'S':  // Sync
      client->skipping_to_sync = false;
      return Respond(*client, ReadyForQueryMessage());
    case 'P':
    case 'B':
    case 'D':
    case 'E':
    case 'C':
    case 'H':
      // The protocol requires one error, then no response until the client's Sync.
      if (!client->skipping_to_sync) Respond(*client, ErrorMessage("0A000", kSimpleQueriesOnly));
      client->skipping_to_sync = true;
      return;
    case 'F':
      return Respond(*client, ErrorMessage("0A000", kSimpleQueriesOnly) + ReadyForQueryMessage());
    default:
      return OnProtocolError(client, pg::ProtocolError::kUnknownRequestType);
  }
}

void ClientListener::OnQuery(const ConnectionPtr& client, std::string_view text) {
  switch (pg::ParseSessionCommand(text)) {
    case pg::SessionCommand::kEmpty:
      return OnEmptyQuery(*client);
    case pg::SessionCommand::kSet:
      return Respond(*client, CommandCompleteMessage("SET") + ReadyForQueryMessage());
    case pg::SessionCommand::kReset:
      return Respond(*client, CommandCompleteMessage("RESET") + ReadyForQueryMessage());
    case pg::SessionCommand::kDiscard:
      return Respond(*client, CommandCompleteMessage("DISCARD ALL") + ReadyForQueryMessage());
    case pg::SessionCommand::kNone:
      return OnStatement(client, text);
  }
}

// The load balancer checks with an empty query whether it may send clients here. The error does not end the
// connection at once, because statements may have been sent behind the query.
void ClientListener::OnEmptyQuery(ClientConnection& client) {
  if (serving_state_.router_accepts_clients())
    return Respond(client, EmptyQueryMessage() + ReadyForQueryMessage());
  Respond(client, ErrorMessage("57P03", "out of service") + ReadyForQueryMessage());
  CloseWhenIdle(client);
}

void ClientListener::OnStatement(const ConnectionPtr& client, std::string_view text) {
  const std::optional<pg::Statement> statement = pg::ParseStatement(text);
  if (!statement) return RejectStatement(client, StatementError::kUnsupportedForm, std::nullopt);
  const auto found = classes_.find(std::string(statement->class_name));
  if (found == classes_.end()) return RejectStatement(client, StatementError::kUnknownClass, std::nullopt);
  const int class_index = found->second;
  options_.before_request();
  if (const std::optional<StatementError> error = FindStatementError(*statement, class_index)) {
    return RejectStatement(client, *error, class_index);
  }
  client->consecutive_rejections = 0;
  if (RejectIfUnavailable(client, class_index, text.size())) return;
  // The statement may have waited in the buffer, and its client may have disconnected meanwhile.
  if (HasDisconnected(*client)) return Close(client);
  SubmitRequest(client, *statement, class_index, text);
}

void ClientListener::RejectStatement(const ConnectionPtr& client, StatementError error,
                                     std::optional<int> class_index) {
  ++counters_.malformed;
  if (class_index) dispatcher_.CountLocalResponse(*class_index, FailedResponse{});
  ++client->consecutive_rejections;
  Respond(*client, ErrorMessage("42601", ToText(error)) + ReadyForQueryMessage());
  if (client->consecutive_rejections < kMaxConsecutiveRejections || client->rejection) return;
  client->rejection = RejectionReason::kTooManyErrors;
  CloseWhenIdle(*client);
  // While a response is pending, the statements that arrive are rejected as they are read.
  if (!client->has_pending_responses()) RejectAndClose(client, RejectionReason::kTooManyErrors);
}

bool ClientListener::RejectIfUnavailable(const ConnectionPtr& client, int class_index,
                                         std::size_t statement_size) {
  std::optional<RejectionReason> reason = client->rejection;
  if (!reason && serving_state_.ShouldReject(clock_.Now())) reason = RejectionReason::kOutOfService;
  if (reason) {
    RejectAndCloseWhenIdle(*client, class_index, *reason);
    return true;
  }
  // If open requests held every connection and all memory that clients may use, no client could connect,
  // neither to this process nor to the one that takes over.
  const bool too_many = clients_by_request_.size() >= options_.limits.max_open_requests;
  const bool too_large = !client->statement_reservation &&
                         statement_bytes_ + statement_size > options_.limits.max_buffered_bytes;
  const bool responses_wait = response_bytes() >= kMaxResponseFactor * options_.limits.max_buffered_bytes;
  if (!too_many && !too_large && !responses_wait) return false;
  ++counters_.rejected;
  dispatcher_.CountLocalResponse(class_index, RejectedResponse{});
  Respond(*client, ErrorMessage("53300", "too much is under way", RetryAfterText(kNoDeadline)) +
                       ReadyForQueryMessage());
  return true;
}

// Statements that were sent behind this one, in the same segment or pipelined later, may already have been
// read or be in the socket's buffer. The connection therefore stays open until they have their responses too.
void ClientListener::RejectAndCloseWhenIdle(ClientConnection& client, int class_index,
                                            RejectionReason reason) {
  dispatcher_.CountLocalResponse(class_index, RejectedResponse{});
  const bool out_of_service = reason == RejectionReason::kOutOfService;
  const std::string retry_after = RetryAfterText(out_of_service ? kOutOfServiceRetryAfter : kNoDeadline);
  Respond(client, ErrorMessage(SqlStateOf(reason), ToText(reason), retry_after) + ReadyForQueryMessage());
  CloseWhenIdle(client);
}

void ClientListener::SubmitRequest(const ConnectionPtr& client, const pg::Statement& statement,
                                   int class_index, std::string_view text) {
  const Freshness freshness = dispatcher_.settings().classes[static_cast<std::size_t>(class_index)].freshness;
  const bool is_write = freshness == Freshness::kWrite;
  const bool is_session_read = freshness == Freshness::kSession;
  const auto tenant = tenants_.find(std::string(statement.tenant));
  ClientRequest request;
  request.class_index = class_index;
  request.tenant = tenant == tenants_.end() ? 0 : tenant->second;
  request.group = statement.cluster;
  if (is_session_read || is_write) request.session_key = SessionKey(statement.key);
  request.timeout = statement.timeout_ms * kMicrosPerMilli;
  request.arrival_time = client->message_arrived_at;
  request.preceding_write = PrecedingWrite(*client, request.session_key);
  if (is_session_read) request.last_write_unix_ms = statement.last_write_unix_ms;
  request.is_retry = statement.is_retry;

  PendingResponse& response = AddPendingResponse(*client);
  response.client_request_id = statement.request_id;
  open_request_ids_.insert(response.client_request_id);
  if (is_write) response.written_session = request.session_key;
  ProtectRequestId(response, class_index);
  if (!client->statement_reservation) {
    response.statement_bytes = text.size();
    statement_bytes_ += text.size();
  }
  // The payload owns the text from here on.
  request.payload = std::make_shared<const RequestPayload>(
      RequestPayload{client->reader.TakeBody(text), statement.timeout_offset, statement.timeout_size,
                     std::move(client->statement_reservation)});
  response.request = dispatcher_.Submit(clock_.Now(), request);
  clients_by_request_[response.request] = client;
  ++client->open_requests;
}

void ClientListener::ProtectRequestId(PendingResponse& pending, int class_index) {
  const ClassSettings& class_settings = dispatcher_.settings().classes[static_cast<std::size_t>(class_index)];
  if (class_settings.idempotency == Idempotency::kIdempotent) return;
  pending.used_id = RequestIdKeyOf(pending.client_request_id);
  AddUsedRequestId(*pending.used_id);
  options_.on_request_id(*pending.used_id);
}

void ClientListener::ReleaseRequestId(PendingResponse& pending, bool may_have_run) {
  if (!pending.used_id) return;
  if (may_have_run) {
    AddUsedRequestId(*pending.used_id);  // remembered from the end of the request on
  } else {
    used_request_ids_.Remove(*pending.used_id);
  }
  pending.used_id.reset();
}

void ClientListener::OnTerminate(const ConnectionPtr& client) {
  if (!client->has_pending_responses()) return Close(client);
  // The responses to earlier messages are still sent.
  AddPendingResponse(*client).closes_connection = true;
  client->input_ended = true;
}

std::string ClientListener::RetryAfterText(Micros suggested) const {
  const Settings& settings = dispatcher_.settings();
  const Micros retry_after = std::min(settings.max_retry_after, suggested);
  if (!settings.retry_after || retry_after <= 0) return "";
  return std::to_string(retry_after / kMicrosPerMilli);
}

std::optional<StatementError> ClientListener::FindStatementError(const pg::Statement& statement,
                                                                 int class_index) {
  const ClassSettings& class_settings = dispatcher_.settings().classes[static_cast<std::size_t>(class_index)];
  if (statement.is_write != (class_settings.freshness == Freshness::kWrite))
    return StatementError::kClassMismatch;
  if (class_settings.idempotency == Idempotency::kWithKey && statement.idempotency_key.empty()) {
    return StatementError::kNoIdempotencyKey;
  }
  if (open_request_ids_.contains(std::string(statement.request_id))) {
    return StatementError::kRequestIdAlreadyOpen;
  }
  const bool runs_once = class_settings.idempotency != Idempotency::kIdempotent;
  const requests::RequestIdKey key = RequestIdKeyOf(statement.request_id);
  if (runs_once && used_request_ids_.Contains(key, clock_.Now())) {
    AddUsedRequestId(key);  // its client may go on to come back
    return StatementError::kRequestIdAlreadyUsed;
  }
  return std::nullopt;
}

}  // namespace tulipyoke::net
