#include "runtime_api/command_server.hpp"

#include "runtime_api/codec.hpp"

namespace gorsemount::runtime_api {

namespace {

constexpr std::size_t kMaxPausedBytes = 1U << 20U;  // of a peer's input, held back while paused

}  // namespace

struct CommandServer::Peer {
  std::shared_ptr<net::Connection> connection;
  bool prompt = false;
  std::string payload_command, payload;  // a command whose payload is being read, and the lines so far
  bool in_payload = false;
  std::string buffered;             // received while paused
  std::size_t remaining_bytes = 0;  // until the pause, if `on_paused` is set
  std::function<void()> on_paused;
  bool paused = false;
};

CommandServer::CommandServer(net::Loop& loop, Handler handler, Limits limits)
    : loop_{loop}, handler_{std::move(handler)}, limits_{limits} {}

CommandServer::~CommandServer() {
  on_disconnect_ = {};
  disconnect_all();
}

void CommandServer::listen(const Endpoint& endpoint) {
  tcp_ = std::make_unique<net::Listener>(loop_, endpoint,
                                         [this](net::Fd fd, const Endpoint&) { accept(std::move(fd)); });
}

void CommandServer::listen(const std::string& path, unsigned mode) {
  unix_ = std::make_unique<net::Listener>(loop_, path, mode,
                                          [this](net::Fd fd, const Endpoint&) { accept(std::move(fd)); });
}

void CommandServer::stop_listening() { tcp_.reset(), unix_.reset(); }

void CommandServer::disconnect_all() {
  for (const auto& [id, peer] : std::exchange(peers_, {})) {
    peer->connection->abort();
    if (on_disconnect_) on_disconnect_(id);
  }
}

void CommandServer::set_paused(bool paused) {
  paused_ = paused;
  if (paused) return;
  const auto peers = peers_;
  for (const auto& [id, peer] : peers) run_buffered(id, peer);
}

void CommandServer::run_buffered(std::uint64_t id, const std::shared_ptr<Peer>& peer) {
  std::string text = std::exchange(peer->buffered, {});
  while (!text.empty()) {
    const std::size_t consumed = on_data(id, text);
    if (consumed == 0) break;
    text.erase(0, consumed);
  }
}

void CommandServer::pause_after(std::uint64_t peer, std::size_t bytes, std::function<void()> on_paused) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) it->second->remaining_bytes = bytes, it->second->on_paused = std::move(on_paused);
}

bool CommandServer::reaches_pause(const std::shared_ptr<Peer>& peer, std::size_t line_bytes) {
  if (!peer->on_paused) return false;
  if (line_bytes <= peer->remaining_bytes) {
    peer->remaining_bytes -= line_bytes;
    return false;
  }
  peer->paused = true;
  std::exchange(peer->on_paused, {})();
  return true;
}

// Also runs the buffered input of peers that have closed since: they sent it before they closed.
void CommandServer::resume() {
  for (const auto& [id, peer] : std::exchange(paused_peers_, {})) {
    peer->paused = false;
    const bool restored = peers_.try_emplace(id, peer).second;
    run_buffered(id, peer);
    if (!restored) continue;
    peers_.erase(id);
    if (on_disconnect_) on_disconnect_(id);
  }
}

void CommandServer::drop_paused() {
  for (const auto& [id, peer] : std::exchange(paused_peers_, {})) {
    peer->paused = false, peer->buffered.clear();
    if (peers_.contains(id)) {
      peer->connection->abort();
      peers_.erase(id);
    }
    if (on_disconnect_) on_disconnect_(id);
  }
}

void CommandServer::accept(net::Fd fd) {
  if (peers_.size() >= limits_.max_peers)
    return;  // closes the new connection; connected peers are unaffected
  const std::uint64_t id = ++last_id_;
  auto peer = std::make_shared<Peer>();
  peers_[id] = peer;
  peer->connection = net::Connection::make(
      loop_, std::move(fd), {limits_.max_line_bytes, 4U << 20U, limits_.idle_timeout},
      [this, id](std::string_view bytes) { return on_data(id, bytes); },
      [this, id](const char*) {
        peers_.erase(id);
        if (on_disconnect_ && !paused_peers_.contains(id)) on_disconnect_(id);
      });
}

std::size_t CommandServer::on_data(std::uint64_t id, std::string_view bytes) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return bytes.size();
  const auto peer = it->second;
  if (paused_ || peer->paused) {
    if (peer->buffered.size() + bytes.size() > kMaxPausedBytes) {
      peer->connection->close("too much");
    } else {
      peer->buffered += bytes;
    }
    return bytes.size();
  }
  const auto end = bytes.find('\n');
  if (end == std::string_view::npos) {
    if (bytes.size() < limits_.max_line_bytes) return 0;
    peer->connection->send("Line too long.\n");
    peer->connection->finish();
    return bytes.size();
  }
  if (reaches_pause(peer, end + 1)) {
    paused_peers_[id] = peer;
    peer->buffered += bytes;
    return bytes.size();
  }
  std::string line{bytes.substr(0, end)};
  if (!line.empty() && line.back() == '\r') line.pop_back();
  if (peer->in_payload) {
    if (line.empty()) {
      peer->in_payload = false;
      run_commands(id, std::exchange(peer->payload_command, {}), std::exchange(peer->payload, {}));
    } else if (peer->payload.size() + line.size() < limits_.max_payload_bytes) {
      peer->payload += line + "\n";
    } else {
      peer->connection->send("Payload too long.\n");
      peer->connection->finish();
      return bytes.size();
    }
  } else if (line.size() >= 2 && line.substr(line.size() - 2) == "<<") {
    peer->in_payload = true;
    peer->payload_command = line.substr(0, line.size() - 2);
  } else {
    run_commands(id, line, "");
  }
  return end + 1;
}

void CommandServer::run_commands(std::uint64_t id, const std::string& line, const std::string& payload) {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return;
  const auto peer = it->second;
  std::string output;
  bool quit = false;
  for (const auto& command : split_commands(line)) {
    if (command == "prompt") {
      peer->prompt = !peer->prompt;
    } else if (command == "quit") {
      quit = true;
      break;
    } else {
      const std::string answer = handler_(id, command, payload);
      output += answer;
      if (!answer.empty() && answer.back() != '\n') output += "\n";
      if (!peer->prompt) output += "\n";  // a blank line ends each answer
    }
  }
  if (!peers_.contains(id)) return;  // the handler disconnected it
  if (peer->prompt && !quit) output += "\n> ";
  peer->connection->send(output);
  if (!peer->prompt || quit) peer->connection->finish();
}

}  // namespace gorsemount::runtime_api
