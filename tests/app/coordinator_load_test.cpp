// `gorsemount coordinator` as a process, with hundreds of clients that send too much, too little, or close
// early.
#include <fcntl.h>

#include "app/coordinator_process.hpp"

namespace gorsemount::app {
namespace {

using namespace testing;

constexpr int kFleetProxies = 400;
constexpr int kHonestProxy = 399;
constexpr std::size_t kMemoryMib = 64;

std::string load_config() {
  auto text = config("127.7.7.11:17032");
  const auto replace = [&](const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  };
  replace("\"proxies\":1,", "\"proxies\":" + std::to_string(kFleetProxies) + ",");
  replace("\"sockets\":256", "\"sockets\":1024");
  replace("\"push-rate\":4000", "\"push-rate\":40000");
  replace("\"backlog\":4000", "\"backlog\":80000");
  return text;
}

std::string joined(int proxy) {
  return "joined sidecar=" + std::to_string(proxy) + " az=a share=1 standing=1\r\n";
}

// Raw sockets of many clients, written to without waiting.
class Clients {
 public:
  explicit Clients(int count) {
    sockaddr_in to{};
    to.sin_family = AF_INET, to.sin_port = htons(17031);
    inet_pton(AF_INET, "127.7.7.11", &to.sin_addr);
    for (int k = 0; k < count; ++k) {
      net::Fd fd{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
      EXPECT_EQ(::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
      ::fcntl(fd.get(), F_SETFL, O_NONBLOCK);
      sockets_.push_back(std::move(fd));
    }
  }
  [[nodiscard]] std::size_t size() const { return sockets_.size(); }
  // Returns how many bytes were taken.
  std::size_t send(std::size_t client, std::string_view bytes) const {
    const ssize_t n = ::send(sockets_[client].get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  void join_all() const {
    for (std::size_t k = 0; k < size(); ++k) send(k, joined(static_cast<int>(k)));
  }
  void discard_received() const {
    char buffer[4096];
    for (const auto& fd : sockets_)
      while (::recv(fd.get(), buffer, sizeof buffer, MSG_DONTWAIT) > 0) {
      }
  }

 private:
  std::vector<net::Fd> sockets_;
};

struct CoordinatorLoad : CoordinatorProcess {
  FakeDiscovery discovery{"127.7.7.11:17032", full_list(2, backend_row("s-1") + "," + backend_row("s-2"))};
  std::optional<Process> process;
  std::optional<ProxyStream> honest;

  void start() {
    write(load_config());
    process.emplace(file);
    honest.emplace();
    honest->send(joined(kHonestProxy));
    ASSERT_TRUE(honest->receives("s-2:"));
  }
};

// Guards against a process that passes its memory limit: each connection stayed within the longest message,
// but nothing bounded all of them together.
TEST_F(CoordinatorLoad, UnfinishedMessagesOfManyClientsStayWithinTheMemoryLimit) {
  start();
  constexpr std::size_t kHalfMessage = 1'000'000;
  std::string short_fields = "usage ";
  while (short_fields.size() < kHalfMessage) short_fields += "a=1 ";
  const std::vector<std::string> texts{"usage sidecar=" + std::string(kHalfMessage, '1'), short_fields,
                                       "usage kind=" + std::string(kHalfMessage, 'x')};
  const Clients clients{300};
  clients.join_all();
  ProxyStream joining;  // in good order, but slow
  joining.send("joined sidecar=398 az=a sh");
  std::vector<std::size_t> sent(clients.size());
  const auto end = std::chrono::steady_clock::now() + 1s;
  while (std::chrono::steady_clock::now() < end) {
    clients.discard_received();
    for (std::size_t k = 0; k < clients.size(); ++k) {
      const std::string& text = texts[k % texts.size()];
      sent[k] += clients.send(k, std::string_view{text}.substr(std::min(sent[k], text.size())));
    }
    honest->send("usage sidecar=399 kind=lookup n=1 bad=0 window=1000\r\n");
    std::this_thread::sleep_for(5ms);
    if (std::chrono::steady_clock::now() > end - 500ms) joining.send("are=1 standing=1\r\n");
  }
  honest->send("ping\r\n");
  EXPECT_TRUE(honest->receives("pong\r\n"));
  EXPECT_TRUE(joining.receives("s-2:"));
  EXPECT_LT(process->peak_memory_kib(), kMemoryMib << 10U);
}

// What many clients send at full speed, one line each.
struct Flood {
  const char* name;
  std::string line;
  bool joins = true;  // false: each connection is closed after one line and made anew
};

// Guards against clients that wait while others send at full speed: the reads of all ready connections made
// up one turn of the event loop, so signs of life and discovery's news came seconds late.
TEST_F(CoordinatorLoad, OthersAreServedWhileManySendAtFullSpeed) {
  const std::vector<Flood> floods{{"malformed", "usage sidecar=x kind=lookup n=1 bad=0 window=1000\r\n"},
                                  {"sound", "usage sidecar=0 kind=lookup n=1 bad=0 window=1000\r\n"},
                                  {"ping", "ping\r\n"},
                                  {"connections", "nonsense\r\n", false}};
  start();
  int version = 2;
  for (const Flood& flood : floods) {
    SCOPED_TRACE(flood.name);
    std::string lines;
    while (lines.size() < 65536) lines += flood.line;
    std::atomic<bool> stop = false;
    std::thread sender{[&] {
      std::optional<Clients> clients{200};
      if (flood.joins) clients->join_all();
      while (!stop) {
        clients->discard_received();
        for (std::size_t k = 0; k < clients->size(); ++k) clients->send(k, lines);
        if (!flood.joins) clients.emplace(20);
      }
    }};
    std::this_thread::sleep_for(1s);  // until the sockets' buffers are full
    // A quarter of the drain grace, which the news of a drain has to pass through as well.
    constexpr auto kMaxWait = 500ms;
    for (int k = 0; k < 5; ++k) {
      const auto before = std::chrono::steady_clock::now();
      ProxyStream other;
      other.send("ping\r\n");
      EXPECT_TRUE(other.receives("pong\r\n", 5s));
      EXPECT_LT(std::chrono::steady_clock::now() - before, kMaxWait);
    }
    const std::string host = "s-new-" + std::to_string(++version);
    const auto before = std::chrono::steady_clock::now();
    discovery.change(R"({"seq":)" + std::to_string(version) + R"(,"whole":false,"hosts":[)" +
                     backend_row(host) + "]}");
    EXPECT_TRUE(honest->receives(host, 5s));
    EXPECT_LT(std::chrono::steady_clock::now() - before, 1500ms);
    stop = true;
    sender.join();
  }
}

// Guards against an exit that waits until the input of clients that are gone has been handled.
TEST_F(CoordinatorLoad, ExitsInTimeAfterManyClientsClosedWithInputUnread) {
  start();
  std::string lines;
  while (lines.size() < 65536) lines += "usage sidecar=x kind=lookup n=1 bad=0 window=1000\r\n";
  {
    const Clients clients{200};
    clients.join_all();
    const auto end = std::chrono::steady_clock::now() + 2s;  // the sockets' buffers grow meanwhile
    while (std::chrono::steady_clock::now() < end)
      for (std::size_t k = 0; k < clients.size(); ++k) clients.send(k, lines);
  }
  const auto before = std::chrono::steady_clock::now();
  process->signal(SIGTERM);
  EXPECT_EQ(process->wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - before, 700ms);
}

}  // namespace
}  // namespace gorsemount::app
