package controller

import (
	"sync"

	"celeryvalve/encoder"
	"celeryvalve/quarantiner"
)

func commands() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[SubmitPatch]("Control.SubmitPatch"),
		encoder.Message[Announce]("Control.Announce"),
		encoder.Message[Ready]("Control.Ready"),
		encoder.Message[Leave]("Control.Leave"),
		encoder.Message[Expire]("Control.Expire"),
		encoder.Message[Claim]("Control.Claim"),
		encoder.Message[Settle]("Control.Settle"),
		encoder.Message[LeaseOrigin]("Control.LeaseOrigin"),
		encoder.Message[ReturnOrigin]("Control.ReturnOrigin"),
		encoder.Message[quarantiner.ReportCrash]("Control.ReportCrash"),
		encoder.Message[quarantiner.ClearSuspects]("Control.ClearSuspects"),
	}
}

// Messages returns the codec entries of all commands, their answers and heartbeats.
func Messages() []encoder.MessageType {
	return append(commands(),
		encoder.Message[Rejected]("Control.Rejected"),
		encoder.Message[PatchAnswer]("Control.PatchAnswer"),
		encoder.Message[AnnounceAnswer]("Control.AnnounceAnswer"),
		encoder.Message[MemberAnswer]("Control.MemberAnswer"),
		encoder.Message[ClaimAnswer]("Control.ClaimAnswer"),
		encoder.Message[SettleAnswer]("Control.SettleAnswer"),
		encoder.Message[OriginAnswer]("Control.OriginAnswer"),
		encoder.Message[quarantiner.Answer]("Control.QuarantineAnswer"),
		encoder.Message[Heartbeat]("Control.Heartbeat"),
		encoder.Message[HeartbeatAnswer]("Control.HeartbeatAnswer"),
	)
}

// commandCodec encodes only commands, so that no other message can enter the log.
var commandCodec = sync.OnceValue(func() *encoder.Codec {
	return must(encoder.NewForLog(commands()...))
})

func must(codec *encoder.Codec, err error) *encoder.Codec {
	if err != nil {
		panic(err) // two message kinds have the same name
	}
	return codec
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command any) ([]byte, error) {
	return commandCodec().Encode(0, command)
}

// DecodeCommand decodes a command and returns a pointer to it.
func DecodeCommand(data []byte) (any, error) {
	_, command, err := commandCodec().Decode(data)
	return command, err
}
