#include "src/server/command_executor.hpp"

#include <string>
#include <variant>
#include <vector>

#include "src/log/log.hpp"

namespace tulipyoke::net {

CommandExecutor::CommandExecutor(Exchange& dispatcher, ServerPool& pool, ClientFront& listener,
                                 DiscoveryWatch& registry_watch, HotRestartCoordinator& hot_restart)
    : dispatcher_(dispatcher),
      pool_(pool),
      listener_(listener),
      registry_watch_(registry_watch),
      hot_restart_(hot_restart) {}

void CommandExecutor::ExecuteAll() {
  std::vector<Command> commands = dispatcher_.TakeCommands();
  while (!commands.empty()) {
    for (const Command& command : commands) {
      std::visit([this](const auto& kind) { Execute(kind); }, command);
    }
    commands = dispatcher_.TakeCommands();
  }
}

void CommandExecutor::Execute(const StartAttempt& command) { pool_.Start(command); }

void CommandExecutor::Execute(const StartProbe& command) { pool_.Start(command); }

void CommandExecutor::Execute(const EndTicket& command) { pool_.End(command.ticket); }

void CommandExecutor::Execute(const SetAddress& command) {
  pool_.SetAddress(command.server, command.address);
}

void CommandExecutor::Execute(const ForgetServer& command) { pool_.Forget(command.server); }

void CommandExecutor::Execute(const CloseIdleConnections& command) { pool_.CloseIdle(command.server); }

void CommandExecutor::Execute(const AnswerRequest& command) { listener_.Deliver(command.id, command.answer); }

void CommandExecutor::Execute(const RefreshList&) { registry_watch_.Refresh(); }

void CommandExecutor::Execute(const TellPartners& command) {
  std::visit([this](const auto& news) { hot_restart_.Broadcast(news); }, command.news);
}

void CommandExecutor::Execute(const WriteLog& command) { LogInfo("decision", "decisions: " + command.text); }

void CommandExecutor::Execute(const WriteTrace& command) {
  LogInfo("trace", "trace: at=" + std::to_string(command.when) + " " + command.text);
}

}  // namespace tulipyoke::net
