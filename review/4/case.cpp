// Three instances are stopped in turn, one second apart. Clients that can't learn of other addresses go on
// with the ones that they have, and start streams of a few seconds.
#include "../site.h"

#include <algorithm>

using namespace review;

namespace {

constexpr std::size_t InstanceCount = 3;
constexpr std::chrono::seconds StopPeriod{1};
constexpr milliseconds GraceTime{8000};
/// Requests that were sent later than this after the SIGTERM of their instance are not excused.
constexpr milliseconds ExcusedTime{3000};
constexpr milliseconds LossSlack{200};
/// Some clients keep a directory answer for this many times its time.
constexpr int KeepFactor = 3;
constexpr int Clients = 36;
/// When the first client sends, counted from the first SIGTERM, and the time between two clients.
constexpr int FirstSendMs = 3010;
constexpr int SendPeriodMs = 6;
constexpr int EventCount = 22;
constexpr milliseconds EventPeriod{250};
constexpr int DeadlineMs = 8000;

bool stream(const Replica &self, const Message &request, const Socket &socket)
{
    if (!socket.write("HTTP/1.1 200 X\r\n" + self.fields(request)
                      + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (int i = 1; i <= EventCount; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
        std::ostringstream chunk;
        chunk << std::hex << event.size() << "\r\n" << event << "\r\n";
        if (!socket.write(chunk.str()))
            return false;
        std::this_thread::sleep_for(EventPeriod);
    }
    return socket.write("0\r\n\r\n");
}

/// What a client knows of the instances.
struct Addresses
{
    std::vector<std::size_t> instances;
    Clock::time_point until;
};

/// Asks the instances in turn, for a second each, which addresses to use. An answer without any is a failure.
std::optional<Addresses> resolve(const Instances &instances)
{
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        const Socket socket = connectTo(instances.directory(i));
        if (!socket.isOpen()
            || !socket.write(
                "GET /api/resolve?name=site.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\n\r\n"))
            continue;
        Reader reader(socket);
        const auto response = reader.read(true, Clock::now() + std::chrono::seconds(1));
        const auto ttl = response ? response->body.find("\"ttl_s\":") : std::string::npos;
        if (ttl == std::string::npos || response->status() != 200)
            continue;
        Addresses addresses;
        for (std::size_t j = 0; j < InstanceCount; ++j) {
            if (response->body.find('"' + instances.frontend(j) + '"') != std::string::npos)
                addresses.instances.push_back(j);
        }
        const double seconds = std::atof(response->body.c_str() + ttl + 8);
        addresses.until = Clock::now() + milliseconds(static_cast<int>(seconds * 1000 * KeepFactor));
        if (!addresses.instances.empty())
            return addresses;
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        giveUp("usage: case COMMAND RECORD");
    Record record(argv[2]);
    const std::string storeAddress = "127.0.0.1:" + std::to_string(freePort("127.0.0.1"));
    Store store(storeAddress);
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "llm-" + std::to_string(i + 1);
        replicas.push_back(std::make_unique<Replica>(id, record, stream));
        store.put("servers/" + id, replicas.back()->entry("llm", 64));
    }
    store.put("op/config",
              tableText(3, routeText("chat", "streaming", DeadlineMs, "llm", 1, R"(,"target_gap_ms":400)"),
                        tenantText("account-1", "\"key-1\"")));
    Instances instances(argv[1], storeAddress, InstanceCount);
    for (std::size_t i = 0; i < InstanceCount; ++i)
        instances.start(i);
    instances.awaitReady();

    std::vector<Addresses> known;
    for (int i = 0; i < Clients; ++i) {
        auto addresses = resolve(instances);
        if (!addresses || addresses->instances.size() != InstanceCount)
            giveUp("the directory doesn't name all instances");
        known.push_back(std::move(*addresses));
    }
    const auto start = Clock::now();
    std::atomic<int> whole = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> excused = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        clients.emplace_back([&, i] {
            std::this_thread::sleep_until(start + milliseconds(FirstSendMs + i * SendPeriodMs));
            Addresses &addresses = known[static_cast<std::size_t>(i)];
            if (Clock::now() >= addresses.until) {
                if (auto news = resolve(instances))
                    addresses = std::move(*news);
            }
            const std::size_t target =
                addresses.instances[static_cast<std::size_t>(i) % addresses.instances.size()];
            Call call;
            call.attempt = "c" + std::to_string(i);
            call.path = "/chat/x";
            call.deadlineMs = DeadlineMs;
            const Socket socket = connectTo(instances.frontend(target));
            const bool isSent = socket.isOpen() && socket.write(toText(call));
            const auto sentAt = Clock::now();
            const auto stoppedAt = start + target * StopPeriod;
            record.add("sent " + call.attempt + " to instance " + std::to_string(target + 1) + ", "
                       + std::to_string(std::chrono::duration_cast<milliseconds>(sentAt - stoppedAt).count())
                       + " ms after its SIGTERM");
            if (!isSent) {
                record.add("connection of " + call.attempt + " failed");
                return;
            }
            Reader reader(socket);
            const auto response = reader.read(true, sentAt + milliseconds(DeadlineMs - 50));
            record.add("answered " + call.attempt + ' ' + describe(response));
            int runs = 0;
            for (const auto &replica : replicas)
                runs += replica->runsOf(call.attempt);
            if (response && response->isComplete)
                ++(response->status() == 200 ? whole : refused);
            else if (hasTrouble() && sentAt - stoppedAt <= ExcusedTime)
                ++excused;
            else if (runs > 0 || Clock::now() - sentAt > LossSlack)
                ++lost;
        });
    }
    // Instances end with the thread that started them, so that all are stopped and started by this one.
    std::vector<bool> isSignalled(InstanceCount, !hasTrouble());
    std::vector<bool> isStartedAgain(InstanceCount, !hasTrouble());
    while (std::find(isStartedAgain.begin(), isStartedAgain.end(), false) != isStartedAgain.end()) {
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            const auto at = start + i * StopPeriod;
            if (!isSignalled[i] && Clock::now() >= at) {
                instances.signal(i, SIGTERM);
                record.add("SIGTERM to instance " + std::to_string(i + 1));
                isSignalled[i] = true;
            }
            if (!isSignalled[i] || isStartedAgain[i])
                continue;
            const bool hasEnded = instances.hasEnded(i);
            if (!hasEnded && Clock::now() < at + GraceTime)
                continue;
            record.add("instance " + std::to_string(i + 1)
                       + (hasEnded ? " has ended by itself" : " gets SIGKILL") + " and starts again");
            instances.kill(i);
            instances.start(i);
            isStartedAgain[i] = true;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    for (std::thread &client : clients)
        client.join();
    const std::string result = "whole " + std::to_string(whole) + ", refused " + std::to_string(refused)
                               + ", cut and excused " + std::to_string(excused) + ", cut and not excused "
                               + std::to_string(lost);
    record.add(result);
    std::cout << result << std::endl;
    if (!hasTrouble() && whole == 0)
        giveUp("no stream was served");
    instances.finish(lost > 0 ? RuleBroken : RuleHeld);
}
