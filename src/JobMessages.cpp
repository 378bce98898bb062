#include "JobMessages.h"

#include "Pack.h"

namespace cicada {

namespace {

    // The fields of each message in the order in which they are encoded.
    auto fields(Resources& m) { return std::tie(m.cpuMillis, m.memoryMiB, m.accelerators); }
    auto fields(RunId& m) { return std::tie(m.job, m.task, m.run); }
    auto fields(PartitionSync& m) { return std::tie(m.partition, m.epoch, m.session, m.version); }
    auto fields(JobSync& m) { return std::tie(m.partitions, m.lastAsk, m.liveAsks, m.forget); }
    auto fields(RackRecovery& m) { return std::tie(m.epoch, m.number); }
    auto fields(RackView& m) { return std::tie(m.rack, m.recovery); }
    auto fields(RunStatus& m)
    {
        return std::tie(m.id, m.state, m.demand, m.urgency, m.preemptible, m.checkpoint, m.worker);
    }
    auto fields(TaskRunReport& m) { return std::tie(m.status, m.rack, m.recovery); }
    auto fields(PartitionReport& m) { return std::tie(m.partition, m.epoch, m.since, m.version, m.runs); }
    auto fields(JobReport& m) { return std::tie(m.session, m.sequence, m.racks, m.partitions, m.free, m.forgotten); }
    auto fields(JobOrder& m) { return std::tie(m.urgency, m.acceptedMicros, m.job); }
    auto fields(HoldTask& m) { return std::tie(m.task, m.demand); }
    auto fields(HoldRequest& m)
    {
        return std::tie(m.askId, m.partition, m.epoch, m.order, m.gang, m.spread, m.preemptible, m.tasks);
    }
    auto fields(HeldTask& m) { return std::tie(m.task, m.worker, m.rack, m.recovery); }
    auto fields(HoldReply& m) { return std::tie(m.askId, m.session, m.held); }
    auto fields(CommitTask& m) { return std::tie(m.task, m.run, m.command, m.checkpoint); }
    auto fields(HoldCommit& m) { return std::tie(m.askId, m.partition, m.epoch, m.tasks); }
    auto fields(HoldRelease& m) { return std::tie(m.askId); }
    auto fields(HoldGone& m) { return std::tie(m.askId, m.session); }
    auto fields(StopRuns& m) { return std::tie(m.partition, m.epoch, m.runs); }
    auto fields(JobNotice& m) { return std::tie(m.job); }
    auto fields(JobQuery& m) { return std::tie(m.queryId, m.job, m.cancel); }
    auto fields(JobReply& m) { return std::tie(m.queryId, m.json); }
    auto fields(TeamUsage& m) { return std::tie(m.team, m.used); }
    auto fields(TeamDigest& m) { return std::tie(m.teams); }

    template <typename T>
    concept Message = requires(T& message)
    {
        fields(message);
    };

} // namespace

} // namespace cicada

MSGPACK_ADD_ENUM(cicada::RunState)

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <typename T> struct pack<T, std::enable_if_t<cicada::Message<T>>> {
            template <typename Stream> packer<Stream>& operator()(packer<Stream>& out, const T& message) const
            {
                // The fields are only read; encoding and decoding share one list of fields.
                return out.pack(cicada::fields(const_cast<T&>(message)));
            }
        };

        template <typename T> struct convert<T, std::enable_if_t<cicada::Message<T>>> {
            const msgpack::object& operator()(const msgpack::object& object, T& message) const
            {
                auto target = cicada::fields(message);
                if (object.type != msgpack::type::ARRAY || object.via.array.size != std::tuple_size_v<decltype(target)>)
                    throw msgpack::type_error();
                object.convert(target);
                return object;
            }
        };

    } // namespace adaptor
}
} // namespace msgpack

namespace cicada {

namespace {

    template <typename T> std::string pack(const T& message)
    {
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, message);
        return std::string(buffer.data(), buffer.size());
    }

} // namespace

std::string encode(const JobSync& m) { return pack(m); }
std::string encode(const JobReport& m) { return pack(m); }
std::string encode(const HoldRequest& m) { return pack(m); }
std::string encode(const HoldReply& m) { return pack(m); }
std::string encode(const HoldCommit& m) { return pack(m); }
std::string encode(const HoldRelease& m) { return pack(m); }
std::string encode(const HoldGone& m) { return pack(m); }
std::string encode(const StopRuns& m) { return pack(m); }
std::string encode(const JobNotice& m) { return pack(m); }
std::string encode(const JobQuery& m) { return pack(m); }
std::string encode(const JobReply& m) { return pack(m); }
std::string encode(const TeamDigest& m) { return pack(m); }

template <typename T> Result<T> decodeJobMessage(absl::string_view bytes)
{
    try {
        T message;
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(message);
        return message;
    } catch (const std::exception&) {
        return Error { ErrorKind::MalformedMessage, "A job message cannot be decoded.",
            "Check that all entries run the same version." };
    }
}

template Result<JobSync> decodeJobMessage(absl::string_view);
template Result<JobReport> decodeJobMessage(absl::string_view);
template Result<HoldRequest> decodeJobMessage(absl::string_view);
template Result<HoldReply> decodeJobMessage(absl::string_view);
template Result<HoldCommit> decodeJobMessage(absl::string_view);
template Result<HoldRelease> decodeJobMessage(absl::string_view);
template Result<HoldGone> decodeJobMessage(absl::string_view);
template Result<StopRuns> decodeJobMessage(absl::string_view);
template Result<JobNotice> decodeJobMessage(absl::string_view);
template Result<JobQuery> decodeJobMessage(absl::string_view);
template Result<JobReply> decodeJobMessage(absl::string_view);
template Result<TeamDigest> decodeJobMessage(absl::string_view);

} // namespace cicada
