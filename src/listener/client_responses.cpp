// Queues and sends a connection's responses in the order of its statements.
#include <utility>
#include <variant>

#include "src/listener/client_connection.hpp"
#include "src/listener/client_listener.hpp"
#include "src/listener/response_messages.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"

namespace tulipyoke::net {

void ClientListener::Respond(ClientConnection& client, std::string_view bytes) {
  if (!client.has_pending_responses()) {
    client.output += bytes;
    return;
  }
  if (client.pending_responses.back().is_open()) AddPendingResponse(client);
  client.pending_responses.back().bytes += bytes;
  AddQueuedBytes(client, bytes.size());
}

PendingResponse& ClientListener::AddPendingResponse(ClientConnection& client) {
  AddQueuedBytes(client, sizeof(PendingResponse));
  return client.pending_responses.emplace_back();
}

void ClientListener::AddQueuedBytes(ClientConnection& client, std::size_t size) {
  client.queued_bytes += size;
  queued_bytes_ += size;
}

void ClientListener::UpdateUnsentBytes(ClientConnection& client) {
  unsent_bytes_ += client.unsent_bytes() - client.counted_unsent_bytes;
  client.counted_unsent_bytes = client.unsent_bytes();
}

void ClientListener::RemoveFirstResponse(ClientConnection& client) {
  const std::size_t size = sizeof(PendingResponse) + client.pending_responses.front().bytes.size();
  client.queued_bytes -= size;
  queued_bytes_ -= size;
  client.pending_responses.pop_front();
}

void ClientListener::FlushResponses(const ConnectionPtr& client) {
  while (!client->closed && client->has_pending_responses()) {
    PendingResponse& first = client->pending_responses.front();
    if (first.stream) {
      if (!ForwardStream(client)) return;
      continue;
    }
    if (first.is_open()) return;
    client->output += first.bytes;
    if (first.closes_connection) client->closing = true;
    RemoveFirstResponse(*client);
  }
}

void ClientListener::Deliver(RequestId id, const Response& response) {
  const auto found = clients_by_request_.find(id);
  if (found == clients_by_request_.end()) return;
  const ConnectionPtr client = found->second;
  PendingResponse& pending = *client->FindPendingResponse(id);
  client->last_active = clock_.Now();
  if (const auto* streaming = std::get_if<StreamingResponse>(&response)) {
    pending.stream = streaming->stream;
    statement_bytes_ -= std::exchange(pending.statement_bytes, 0);
    streaming->stream->on_update = [this, weak = std::weak_ptr(client)] {
      const ConnectionPtr waiting = weak.lock();
      if (waiting && ForwardStream(waiting)) ProcessInput(waiting);
    };
    if (ForwardStream(client)) ProcessInput(client);
    return;
  }
  ReleaseRequestId(pending, !std::holds_alternative<RejectedResponse>(response));
  FinishRequest(*client, pending);
  if (const auto* served = std::get_if<ServedResponse>(&response)) {
    pg::AppendMessage(pending.bytes, 'T', served->result.row_description);
    pg::AppendDataRow(pending.bytes, served->result.value);
    pg::AppendMessage(pending.bytes, 'C', served->result.command_tag);
  } else if (const auto* rejected = std::get_if<RejectedResponse>(&response)) {
    const std::string retry_after_ms =
        rejected->retry_after > 0 ? std::to_string((rejected->retry_after + 999) / 1000) : "";
    pending.bytes = ErrorMessage("53300", "refused: trying again is harmless", retry_after_ms);
  } else {
    pending.bytes = ErrorMessage("58000", "failed: the statement may have taken effect");
  }
  pending.bytes += ReadyForQueryMessage();
  AddQueuedBytes(*client, pending.bytes.size());
  ProcessInput(client);
}

bool ClientListener::ForwardStream(const ConnectionPtr& client) {
  if (client->closed || !client->has_pending_responses() || !client->pending_responses.front().stream)
    return false;
  PendingResponse& pending = client->pending_responses.front();
  const std::shared_ptr<ResponseStream> stream = pending.stream;
  if (!std::exchange(pending.stream_started, true)) {
    pg::AppendMessage(client->output, 'T', stream->row_description());
    pg::AppendRowHeader(client->output, stream->size());
  }
  while (!client->writing && !client->closed) {
    if (!client->output.empty()) {
      Write(client);
    } else if (!stream->empty()) {
      client->output = stream->Read();
    } else {
      break;
    }
  }
  if (client->closed || client->writing || stream->state() == ResponseStream::State::kOpen) return false;
  const RequestId request = pending.request;
  ReleaseRequestId(pending, /*may_have_run=*/true);
  FinishRequest(*client, pending);
  RemoveFirstResponse(*client);
  const bool complete = stream->state() == ResponseStream::State::kComplete;
  dispatcher_.StreamDelivered(request);
  if (!complete) {
    // Part of the value has been sent, so only closing the connection tells the client that it is incomplete.
    Close(client);
    return false;
  }
  pg::AppendMessage(client->output, 'C', stream->command_tag());
  pg::AppendReadyForQuery(client->output);
  return true;
}

void ClientListener::FinishRequest(ClientConnection& client, PendingResponse& pending) {
  clients_by_request_.erase(std::exchange(pending.request, 0));
  --client.open_requests;
  ++client.finished_requests;
  client.message_started_at = clock_.Now();
  open_request_ids_.erase(std::exchange(pending.client_request_id, {}));
  statement_bytes_ -= std::exchange(pending.statement_bytes, 0);
}

}  // namespace tulipyoke::net
