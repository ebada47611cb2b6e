package batch

import "time"

const (
	// predictionWeight is the weight of one measured grant in the running means of a predictionCorrection.
	predictionWeight = 1.0 / 32
	// minPredictionRatio and maxPredictionRatio bound the ratio of one measured grant, so that a request that was lost on
	// its way moves the mean by little.
	minPredictionRatio = 0.5
	maxPredictionRatio = 4.0
	// passesBeforeFirstEvent is the mean number of passes between the arrival of a request at an engine that writes and the
	// first event, without reading: the rest of the pass in progress, which is half a pass on average, and the pass that
	// reads the prompt, at whose end the first event is written.
	passesBeforeFirstEvent = 1.5
	// deviationsOfMargin is the number of mean deviations by which a request must be predicted to be early to count as one
	// that can still be on time.
	deviationsOfMargin = 2
)

// predictionCorrection corrects predicted times to the first event by what earlier grants took. The zero value corrects
// nothing.
type predictionCorrection struct {
	// meanExcess is the running mean of measured over predicted time, less 1.
	meanExcess float64
	// meanDeviation is the running mean of the distance between the measured time and the corrected prediction.
	meanDeviation time.Duration
}

// observe takes in what one grant took. Predicted is the time that was predicted without correction.
func (pc *predictionCorrection) observe(predicted, measured time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(float64(measured)/float64(predicted), minPredictionRatio), maxPredictionRatio)
	boundedTime := time.Duration(ratio * float64(predicted))
	deviation := (boundedTime - pc.correct(predicted)).Abs()
	pc.meanDeviation += time.Duration(predictionWeight * float64(deviation-pc.meanDeviation))
	pc.meanExcess += predictionWeight * (ratio - 1 - pc.meanExcess)
}

// correct returns the corrected prediction.
func (pc *predictionCorrection) correct(predicted time.Duration) time.Duration {
	return time.Duration((1 + pc.meanExcess) * float64(predicted))
}

// modelFirstEvent returns the predicted time from a grant to the first event, without correction, on engines that are
// free after wait, read for readTime and whose passes take passTime.
func (mc *Machine) modelFirstEvent(wait, readTime, passTime time.Duration) time.Duration {
	return wait + readTime + time.Duration(passesBeforeFirstEvent*float64(passTime)) + mc.config.GrantDelay
}

// correctionFor returns the correction for grants with the given number of parts. Engines that read a prompt together
// have longer waits and reads than those that read one alone, so both are corrected separately.
func (mc *Machine) correctionFor(parts int) *predictionCorrection {
	if parts > 1 {
		return &mc.sharedCorrection
	}
	return &mc.singleCorrection
}

// observeFirstEvent corrects later predictions by a grant whose first event has just been reported.
func (mc *Machine) observeFirstEvent(now time.Time, gr *activeGrant) {
	if !mc.config.CorrectsPredictions || gr.modelledFirstEvent == 0 {
		return
	}
	mc.correctionFor(len(gr.Parts)).observe(gr.modelledFirstEvent, now.Sub(gr.grantedAt))
}

// FirstEventRatios returns the running means of measured over predicted time to the first event, of prompts that one engine
// reads and of those that several read. The predictions of grants are multiplied by them.
func (mc *Machine) FirstEventRatios() (single, shared float64) {
	return 1 + mc.singleCorrection.meanExcess, 1 + mc.sharedCorrection.meanExcess
}

// meanPassTime returns the mean duration of a pass in which the candidates only write answers.
func (mc *Machine) meanPassTime() time.Duration {
	if len(mc.candidates) == 0 {
		return 0
	}
	var total time.Duration
	for ix := range mc.candidates {
		total += mc.candidates[ix].passTime
	}
	return total / time.Duration(len(mc.candidates))
}

// startOverhead returns the time between a grant and the first event that is not spent on reading, for prompts of a queue.
// For short prompts it follows from the passes of the candidates and from earlier grants. It is never below StartOverhead,
// and includes deviationsOfMargin, so that a request counts as on time only if it is likely to be.
func (mc *Machine) startOverhead(qu *queue) time.Duration {
	if !mc.config.CorrectsPredictions || qu != &mc.shortQueue {
		return mc.config.StartOverhead
	}
	predicted := mc.singleCorrection.correct(mc.modelFirstEvent(0, 0, mc.meanPassTime()))
	return max(mc.config.StartOverhead, predicted+deviationsOfMargin*mc.singleCorrection.meanDeviation)
}
