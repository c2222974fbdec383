// All processes are killed while the store holds an entry of another writer.

#include "../support-2/replica.h"

using namespace review;

namespace {

constexpr int Instances = 3;
constexpr int MemoryMb = 110;
/// `recovery_s` of the settings, and how long requests are counted after that.
constexpr auto Recovery = std::chrono::seconds(12);
constexpr auto Counted = std::chrono::seconds(8);
/// Most bytes of a value: `value_bytes` of the settings.
constexpr std::size_t ValueBytes = 1'048'576;

struct Count
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;

    [[nodiscard]] bool isQuarter() const { return 4 * served >= sent && sent > 0; }
    [[nodiscard]] std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }
};

} // namespace

int main(int, char **arguments)
{
    Record record(arguments[1]);
    Site site({.instances = Instances, .memoryMb = MemoryMb});
    site.store->put("op/config", configuration(3, TwoTenants));
    const std::string ip = site.ip(100);
    const int port = freePort(ip);
    Replica desk("i-7f3a91c2", ip, port, {});
    site.publishReplica(desk.id(), "app", ip + ':' + std::to_string(port), 6);
    site.startAll();
    if (!site.waitReady())
        return finish(record, 2, "the instances are not ready");

    Count before;
    Count after;
    std::atomic<Count *> current = &before;
    std::atomic<bool> ends = false;
    std::vector<std::thread> clients;
    for (int i = 0; i < Instances; ++i) {
        clients.emplace_back([&, i] {
            for (int number = 0; !ends; ++number) {
                Count *count = current;
                const std::string attempt = "c" + std::to_string(i) + "-" + std::to_string(number);
                const auto answer = call(site.ip(i), site.frontend(), "GET", "/read/x",
                                         requestHeaders(attempt, "key-1", 600), "", milliseconds(1000));
                if (count != nullptr) {
                    ++count->sent;
                    count->served += answer && answer->status() == 200 ? 1 : 0;
                }
                std::this_thread::sleep_for(milliseconds(50));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    if (withTrouble()) {
        site.store->put("servers/i-41&batch", std::string(ValueBytes, 'x'));
        record.line("another writer has written servers/i-41&batch, 1048576 bytes that can't be read");
        std::this_thread::sleep_for(std::chrono::seconds(3));
    }
    current = nullptr;
    record.line("before: " + before.text() + " served");
    for (int i = 0; i < Instances; ++i)
        site.process(i).stop(SIGKILL);
    record.line("all processes are killed");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    site.startAll();
    const auto backAt = Clock::now();
    record.line("all processes are started again");
    // The platform ends a process that exceeds its memory, and starts it again after a short delay.
    int ended = 0;
    while (Clock::now() < backAt + Recovery + Counted) {
        if (Clock::now() >= backAt + Recovery)
            current = &after;
        for (int i = 0; i < Instances; ++i) {
            const bool runs = site.process(i).runs();
            if (runs && site.process(i).residentKb() <= MemoryMb * 1024L)
                continue;
            record.line("edge-" + std::to_string(i) + (runs ? " exceeds its memory" : " has ended") + ", "
                        + std::to_string(site.store->rangeCalls()) + " pages read in all");
            ++ended;
            site.process(i).stop(SIGKILL);
            site.startInstance(i);
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    ends = true;
    for (std::thread &client : clients)
        client.join();
    const std::string text = "before " + before.text() + " served, later than 12 s after all were back "
                             + after.text() + "; processes over their memory " + std::to_string(ended)
                             + " times";
    if (!before.isQuarter())
        return finish(record, 2, "less than a quarter was served before; " + text);
    return finish(record, after.isQuarter() ? 0 : 1, text);
}
