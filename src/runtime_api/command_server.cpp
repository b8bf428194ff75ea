#include "runtime_api/command_server.hpp"

#include "runtime_api/codec.hpp"

namespace gorsemount::runtime_api {

struct CommandServer::Peer {
  std::shared_ptr<net::Connection> connection;
  bool prompt = false;
  std::string waiting, payload;  // a command that takes a payload, and what came of it
  bool in_payload = false;
  std::string kept;      // what came while held
  std::size_t left = 0;  // bytes till it freezes, if `then` is set
  std::function<void()> then;
  bool frozen = false;
};

CommandServer::CommandServer(net::Loop& loop, Handler handler, Limits limits)
    : loop_{loop}, handler_{std::move(handler)}, limits_{limits} {}

CommandServer::~CommandServer() {
  gone_ = {};
  disconnect_all();
}

void CommandServer::listen(const Endpoint& at) {
  tcp_ = std::make_unique<net::Listener>(loop_, at,
                                         [this](net::Fd fd, const Endpoint&) { accept(std::move(fd)); });
}

void CommandServer::listen(const std::string& path, unsigned mode) {
  unix_ = std::make_unique<net::Listener>(loop_, path, mode,
                                          [this](net::Fd fd, const Endpoint&) { accept(std::move(fd)); });
}

void CommandServer::stop_listening() { tcp_.reset(), unix_.reset(); }

void CommandServer::disconnect_all() {
  for (const auto& [number, peer] : std::exchange(peers_, {})) {
    peer->connection->abort();
    if (gone_) gone_(number);
  }
}

void CommandServer::set_paused(bool on) {
  held_ = on;
  if (on) return;
  const auto peers = peers_;
  for (const auto& [number, peer] : peers) feed(number, peer);
}

void CommandServer::feed(std::uint64_t number, const std::shared_ptr<Peer>& peer) {
  std::string text = std::exchange(peer->kept, {});
  while (!text.empty()) {
    const std::size_t used = data(number, text);
    if (used == 0) break;
    text.erase(0, used);
  }
}

void CommandServer::pause_after(std::uint64_t peer, std::size_t bytes, std::function<void()> then) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) it->second->left = bytes, it->second->then = std::move(then);
}

bool CommandServer::froze(const std::shared_ptr<Peer>& peer, std::size_t line) {
  if (!peer->then) return false;
  if (line <= peer->left) {
    peer->left -= line;
    return false;
  }
  peer->frozen = true;
  std::exchange(peer->then, {})();
  return true;
}

// A peer that has closed meanwhile had sent this before: it comes all the same.
void CommandServer::resume() {
  for (const auto& [number, peer] : std::exchange(frozen_, {})) {
    peer->frozen = false;
    const bool back = peers_.try_emplace(number, peer).second;
    feed(number, peer);
    if (!back) continue;
    peers_.erase(number);
    if (gone_) gone_(number);
  }
}

void CommandServer::drop_paused() {
  for (const auto& [number, peer] : std::exchange(frozen_, {})) {
    peer->frozen = false, peer->kept.clear();
    if (peers_.contains(number)) {
      peer->connection->abort();
      peers_.erase(number);
    }
    if (gone_) gone_(number);
  }
}

void CommandServer::accept(net::Fd fd) {
  if (peers_.size() >= limits_.peers_most) return;  // closed at once: those that are served go on
  const std::uint64_t number = ++number_;
  auto peer = std::make_shared<Peer>();
  peers_[number] = peer;
  peer->connection = net::Connection::make(
      loop_, std::move(fd), {limits_.line_most, 4U << 20U, limits_.idle},
      [this, number](std::string_view bytes) { return data(number, bytes); },
      [this, number](const char*) {
        peers_.erase(number);
        if (gone_ && !frozen_.contains(number)) gone_(number);
      });
}

std::size_t CommandServer::data(std::uint64_t number, std::string_view bytes) {
  const auto it = peers_.find(number);
  if (it == peers_.end()) return bytes.size();
  const auto peer = it->second;
  if (held_ || peer->frozen) {
    peer->kept += bytes;
    return bytes.size();
  }
  const auto end = bytes.find('\n');
  if (end == std::string_view::npos) {
    if (bytes.size() < limits_.line_most) return 0;
    peer->connection->send("Line too long.\n");
    peer->connection->finish();
    return bytes.size();
  }
  if (froze(peer, end + 1)) {
    frozen_[number] = peer;
    peer->kept += bytes;
    return bytes.size();
  }
  std::string line{bytes.substr(0, end)};
  if (!line.empty() && line.back() == '\r') line.pop_back();
  if (peer->in_payload) {
    if (line.empty()) {
      peer->in_payload = false;
      run(number, std::exchange(peer->waiting, {}), std::exchange(peer->payload, {}));
    } else if (peer->payload.size() + line.size() < limits_.payload_most) {
      peer->payload += line + "\n";
    } else {
      peer->connection->send("Payload too long.\n");
      peer->connection->finish();
      return bytes.size();
    }
  } else if (line.size() >= 2 && line.substr(line.size() - 2) == "<<") {
    peer->in_payload = true;
    peer->waiting = line.substr(0, line.size() - 2);
  } else {
    run(number, line, "");
  }
  return end + 1;
}

void CommandServer::run(std::uint64_t number, const std::string& line, const std::string& payload) {
  const auto it = peers_.find(number);
  if (it == peers_.end()) return;
  const auto peer = it->second;
  std::string out;
  bool quit = false;
  for (const auto& command : split_commands(line)) {
    if (command == "prompt") {
      peer->prompt = !peer->prompt;
    } else if (command == "quit") {
      quit = true;
      break;
    } else {
      const std::string answer = handler_(number, command, payload);
      out += answer;
      if (!answer.empty() && answer.back() != '\n') out += "\n";
      if (!peer->prompt) out += "\n";  // an empty line ends each answer
    }
  }
  if (!peers_.contains(number)) return;  // the handler let go of it
  if (peer->prompt && !quit) out += "\n> ";
  peer->connection->send(out);
  if (!peer->prompt || quit) peer->connection->finish();
}

}  // namespace gorsemount::runtime_api
